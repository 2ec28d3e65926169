package telemetry

import (
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// Handler wraps next with a server span called name for every request. The span continues
// the trace that the request's headers carry.
func (t *HTTPTracing) Handler(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := t.Extract(r.Context(), r.Header)
		ctx, span := t.tracer.Start(ctx, name,
			trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("http.request.method", r.Method)))
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		// Deferred, so that the span also ends when the handler panics.
		defer func() { EndSpan(span, recorder.status, nil) }()
		next.ServeHTTP(recorder, r.WithContext(ctx))
	})
}

// statusRecorder records the status of a reply. It implements http.Flusher for handlers
// that stream their reply.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the final status. Informational statuses (1xx) may precede it and
// are not recorded.
func (w *statusRecorder) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (w *statusRecorder) Flush() {
	// http.Flusher returns no error either.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *statusRecorder) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
