package backend

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// startSpan starts the client span of one call.
func (p *Pool) startSpan(ctx context.Context, name, request string, attempt, shard int32) (context.Context, trace.Span) {
	return p.opts.Tracer.Start(ctx, name,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("sycamorelift.request", request),
			attribute.Int("sycamorelift.attempt", int(attempt)),
			attribute.Int("sycamorelift.shard", int(shard)),
			attribute.String("sycamorelift.backend_server", p.server.ID),
		))
}

// recordError marks the span as failed with err.
func recordError(span trace.Span, err error) {
	span.RecordError(err)
	span.SetStatus(codes.Error, err.Error())
}
