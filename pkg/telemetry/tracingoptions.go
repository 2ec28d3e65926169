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

// Options selects where the spans of an instance go.
type Options struct {
	Exporter   Exporter
	Endpoint   string // URL of the OTLP receiver, for example http://127.0.0.1:4318
	File       string // path to append to
	InstanceID string
	Zone       string // availability zone
	// SampleFraction is the fraction (0 to 1) of traces that start here and are
	// recorded. Traces that a caller started keep its decision, so that 0
	// records only those that the caller decided to record.
	SampleFraction float64
	// Stdout replaces os.Stdout when it is not nil.
	Stdout io.Writer
}
