package peer

import (
	"net/http"

	"go.opentelemetry.io/otel/propagation"
)

// traceTransport writes the trace context of each request's context into its
// headers; the twirp client does not do so itself.
type traceTransport struct {
	next *http.Transport
}

// RoundTrip implements http.RoundTripper, which must not change the request.
func (t *traceTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	propagation.TraceContext{}.Inject(request.Context(), propagation.HeaderCarrier(request.Header))
	return t.next.RoundTrip(request)
}

// CloseIdleConnections serves http.Client.
func (t *traceTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }
