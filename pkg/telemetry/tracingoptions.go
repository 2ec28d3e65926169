package telemetry

import "io"

// Exporter names the destination of spans.
type Exporter string

// Destinations of spans. The empty exporter is ExporterNone.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterFile   Exporter = "file" // one JSON object per span
	ExporterOTLP   Exporter = "otlp" // OTLP over HTTP
)

// TracingOptions selects the destination and the sampling of the spans of an instance.
type TracingOptions struct {
	Exporter   Exporter
	Endpoint   string // URL of the OTLP receiver, for example http://127.0.0.1:4318
	File       string // path to append to
	InstanceID string
	Zone       string // availability zone
	// SampleFraction is the fraction (0 to 1) to record of the traces that start at
	// this instance. For a trace that a caller started, the caller's decision holds,
	// so that 0 records only the traces that callers decided to record.
	SampleFraction float64
	// Stdout is the output of ExporterStdout; nil means os.Stdout.
	Stdout io.Writer
}
