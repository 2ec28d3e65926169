package telemetry

import (
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// Handler returns next with a server span called name around every request.
// The span continues the trace of the request's headers.
func (t *HTTPTracing) Handler(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := t.Extract(r.Context(), r.Header)
		ctx, span := t.tracer.Start(ctx, name,
			trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("http.request.method", r.Method)))
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		// Deferred, so that a handler that aborts with a panic leaves a span.
		defer func() { End(span, recorder.status, nil) }()
		next.ServeHTTP(recorder, r.WithContext(ctx))
	})
}

// statusRecorder remembers the status of a reply. Streams flush through it.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the final status; informational replies come before it.
func (w *statusRecorder) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (w *statusRecorder) Flush() {
	// Flushing is best effort in http.Flusher as well.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap serves http.ResponseController.
func (w *statusRecorder) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
