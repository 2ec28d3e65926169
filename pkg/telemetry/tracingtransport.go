package telemetry

import (
	"io"
	"net/http"
	"sync"

	"go.opentelemetry.io/otel/trace"
)

// Transport wraps next with a client span called name for every call. The span ends
// when the reply's body is closed, so that it covers streamed replies.
func (t *HTTPTracing) Transport(name string, next http.RoundTripper) http.RoundTripper {
	return &tracingTransport{tracing: t, name: name, next: next}
}

type tracingTransport struct {
	tracing *HTTPTracing
	name    string
	next    http.RoundTripper
}

// RoundTrip adds the trace headers to a copy of the request, since a RoundTripper must
// not modify its request.
func (t *tracingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	ctx, span := t.tracing.StartClientSpan(r.Context(), t.name, header)
	call := r.WithContext(ctx)
	call.Header = header
	reply, err := t.next.RoundTrip(call)
	if err != nil {
		EndSpan(span, 0, err)
		return nil, err
	}
	reply.Body = &spanBody{ReadCloser: reply.Body, span: span, status: reply.StatusCode}
	return reply, nil
}

// CloseIdleConnections passes the call of http.Client.CloseIdleConnections on to next.
func (t *tracingTransport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// spanBody ends the span of a call when the reply's body is closed.
type spanBody struct {
	io.ReadCloser
	span   trace.Span
	status int
	once   sync.Once
}

// Close closes the body and ends the span.
func (b *spanBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { EndSpan(b.span, b.status, nil) })
	return err
}
