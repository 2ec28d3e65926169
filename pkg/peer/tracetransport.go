package peer

import (
	"net/http"

	"go.opentelemetry.io/otel/propagation"
)

// traceTransport adds the trace context to the headers of each request. The twirp
// client does not do so itself.
type traceTransport struct {
	next *http.Transport
}

// RoundTrip implements http.RoundTripper. It changes a clone, since a RoundTripper
// must not change the request itself.
func (t *traceTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	propagation.TraceContext{}.Inject(request.Context(), propagation.HeaderCarrier(request.Header))
	return t.next.RoundTrip(request)
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t *traceTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }
