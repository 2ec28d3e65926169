package telemetry

import (
	"context"
	"io"
	"testing"

	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"
)

// Guards against a sample fraction of 0 that records every request. With 0, only the
// traces that callers decided to record may be recorded.
func TestZeroFractionFollowsTheCaller(t *testing.T) {
	sampler := newSampler(0)
	provider := mustProvider(t, TracingOptions{Exporter: ExporterStdout, Stdout: io.Discard, SampleFraction: 0})
	tracer := NewHTTPTracing(provider).Tracer()
	_, localRoot := tracer.Start(context.Background(), "own")
	assert.Assert(t, !localRoot.SpanContext().IsSampled(), sampler.Description())
	sampledParent := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: trace.TraceID{1}, SpanID: trace.SpanID{1}, TraceFlags: trace.FlagsSampled, Remote: true,
	})
	_, continued := tracer.Start(trace.ContextWithSpanContext(context.Background(), sampledParent), "continued")
	assert.Assert(t, continued.SpanContext().IsSampled(), sampler.Description())
}
