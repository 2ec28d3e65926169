package telemetry

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// traceFileMode lets only the user of the process read spans, since they name callers.
const traceFileMode = 0o600

// NewTracerProvider returns a tracer provider for one instance. It does not set the
// global provider and propagator of OpenTelemetry. shutdown writes the pending spans
// and closes the destination.
func NewTracerProvider(ctx context.Context, options TracingOptions) (provider trace.TracerProvider, shutdown func(context.Context) error, err error) {
	if options.Exporter == ExporterNone || options.Exporter == "" {
		return noop.NewTracerProvider(), func(context.Context) error { return nil }, nil
	}
	exporter, closer, err := newExporter(ctx, options)
	if err != nil {
		return nil, nil, err
	}
	sdk := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(newResource(options)),
		sdktrace.WithSampler(newSampler(options.SampleFraction)),
	)
	shutdown = func(ctx context.Context) error {
		return errors.Join(sdk.Shutdown(ctx), closer.Close())
	}
	return sdk, shutdown, nil
}

func newExporter(ctx context.Context, options TracingOptions) (sdktrace.SpanExporter, io.Closer, error) {
	switch options.Exporter {
	case ExporterStdout:
		return newStdoutExporter(options.Stdout)
	case ExporterFile:
		return newFileExporter(options.File)
	case ExporterOTLP:
		return newOTLPExporter(ctx, options.Endpoint)
	default:
		return nil, nil, eris.Errorf("trace exporter %q is not one of none, stdout, file, otlp", options.Exporter)
	}
}

func newStdoutExporter(w io.Writer) (sdktrace.SpanExporter, io.Closer, error) {
	if w == nil {
		w = os.Stdout
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	return exporter, io.NopCloser(nil), eris.Wrap(err, "trace exporter to stdout")
}

func newFileExporter(path string) (sdktrace.SpanExporter, io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
	if err != nil {
		return nil, nil, eris.Wrap(err, "trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, nil, errors.Join(eris.Wrap(err, "trace exporter to file"), file.Close())
	}
	return exporter, file, nil
}

func newOTLPExporter(ctx context.Context, endpoint string) (sdktrace.SpanExporter, io.Closer, error) {
	if endpoint == "" {
		return nil, nil, eris.New("trace exporter otlp needs an endpoint")
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	return exporter, io.NopCloser(nil), eris.Wrap(err, "trace exporter to OTLP")
}

func newResource(options TracingOptions) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", "sycamoreliftd"),
		attribute.String("service.instance.id", options.InstanceID),
		attribute.String("cloud.availability_zone", options.Zone),
	)
}

func newSampler(fraction float64) sdktrace.Sampler {
	return sdktrace.ParentBased(sdktrace.TraceIDRatioBased(fraction))
}
