package telemetry

import (
	"io"
	"net/http"
	"sync"

	"go.opentelemetry.io/otel/trace"
)

// Transport returns next with a client span called name around every call. The
// span lasts until the reply's body is closed, so that it covers streams.
func (t *HTTPTracing) Transport(name string, next http.RoundTripper) http.RoundTripper {
	return &tracingTransport{tracing: t, name: name, next: next}
}

type tracingTransport struct {
	tracing *HTTPTracing
	name    string
	next    http.RoundTripper
}

// RoundTrip works on a copy, since a RoundTripper must not change its request.
func (t *tracingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	ctx, span := t.tracing.Start(r.Context(), t.name, header)
	call := r.WithContext(ctx)
	call.Header = header
	reply, err := t.next.RoundTrip(call)
	if err != nil {
		End(span, 0, err)
		return nil, err
	}
	reply.Body = &spanBody{ReadCloser: reply.Body, span: span, status: reply.StatusCode}
	return reply, nil
}

// CloseIdleConnections lets http.Client.CloseIdleConnections reach next.
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
	b.once.Do(func() { End(b.span, b.status, nil) })
	return err
}
