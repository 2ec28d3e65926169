package telemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// tracerName is the instrumentation scope of all spans of the system.
const tracerName = "github.com/sycamorelift/sycamorelift"

// HTTPTracing creates one span per HTTP hop and propagates the trace context in
// the W3C headers. Its methods are safe for concurrent use.
type HTTPTracing struct {
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
}

// NewHTTPTracing returns an HTTPTracing that creates its spans through provider.
func NewHTTPTracing(provider trace.TracerProvider) *HTTPTracing {
	return &HTTPTracing{tracer: provider.Tracer(tracerName), propagator: Propagator()}
}

// Propagator returns the W3C trace context propagator. Baggage is not propagated,
// since each hop would forward whatever amount of it a caller sends.
func Propagator() propagation.TextMapPropagator {
	return propagation.TraceContext{}
}

// Tracer returns the tracer for spans inside an instance.
func (t *HTTPTracing) Tracer() trace.Tracer {
	return t.tracer
}

// Extract returns ctx with the trace context that the headers carry.
func (t *HTTPTracing) Extract(ctx context.Context, header http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the trace context of ctx into the headers.
func (t *HTTPTracing) Inject(ctx context.Context, header http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// StartClientSpan begins a client span called name and writes its context into the
// headers. The caller ends the span with EndSpan.
func (t *HTTPTracing) StartClientSpan(ctx context.Context, name string, header http.Header) (context.Context, trace.Span) {
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
	t.Inject(ctx, header)
	return ctx, span
}

// EndSpan records the HTTP status of a reply (0 if there is none) and the error of the
// call, if any, and ends the span.
func EndSpan(span trace.Span, status int, err error) {
	if err != nil {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Error())
	}
	if status != 0 {
		span.SetAttributes(attribute.Int("http.response.status_code", status))
	}
	if status >= http.StatusInternalServerError {
		span.SetStatus(codes.Error, http.StatusText(status))
	}
	span.End()
}
