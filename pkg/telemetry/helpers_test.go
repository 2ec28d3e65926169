package telemetry

import (
	"context"
	"testing"

	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"
)

func mustProvider(t *testing.T, options TracingOptions) trace.TracerProvider {
	t.Helper()
	provider, shutdown, err := NewTracerProvider(context.Background(), options)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, shutdown(context.Background())) })
	return provider
}
