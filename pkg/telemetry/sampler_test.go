package telemetry

import (
	"context"
	"io"
	"testing"

	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"
)

// Guards against a fraction of 0 that records every request: an operator who
// sets it wants only the traces that callers decided to record.
func TestZeroFractionFollowsTheCaller(t *testing.T) {
	sampler := newSampler(0)
	provider := mustProvider(t, Options{Exporter: ExporterStdout, Stdout: io.Discard, SampleFraction: 0})
	tracer := NewHTTPTracing(provider).Tracer()
	_, own := tracer.Start(context.Background(), "own")
	assert.Assert(t, !own.SpanContext().IsSampled(), sampler.Description())
	decided := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: trace.TraceID{1}, SpanID: trace.SpanID{1}, TraceFlags: trace.FlagsSampled, Remote: true,
	})
	_, continued := tracer.Start(trace.ContextWithSpanContext(context.Background(), decided), "continued")
	assert.Assert(t, continued.SpanContext().IsSampled(), sampler.Description())
}
