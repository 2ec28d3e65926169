package settings

import (
	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// TraceExporter names where spans go.
type TraceExporter string

// Trace exporters.
const (
	TracesNone   TraceExporter = "none"
	TracesStdout TraceExporter = "stdout"
	TracesFile   TraceExporter = "file"
	TracesOTLP   TraceExporter = "otlp"
)

// Traces tells which requests are traced and where spans go.
type Traces struct {
	Exporter TraceExporter
	File     string  // for TracesFile
	Endpoint string  // for TracesOTLP: URL of the OTLP HTTP receiver, host as IP:port
	Sample   float64 // fraction of requests that arrive without a trace decision
}

const defaultTraceSample = 0.01

func defaultTraces() Traces {
	return Traces{Exporter: TracesNone, Sample: defaultTraceSample}
}

func (t *Traces) read(v yamldoc.Value, directory string) {
	o := v.Object()
	exporter := o.Optional("exporter")
	yamldoc.OneOf(exporter, &t.Exporter, TracesNone, TracesStdout, TracesFile, TracesOTLP)
	file, endpoint := o.Optional("file"), o.Optional("endpoint")
	readPath(file, &t.File, directory)
	readURL(endpoint, &t.Endpoint)
	o.Optional("sample").Float(&t.Sample, yamldoc.Range[float64]{Max: 1})
	o.Close()
	checkGoesWith(exporter, t.Exporter, TracesFile, "file", file)
	checkGoesWith(exporter, t.Exporter, TracesOTLP, "endpoint", endpoint)
}

// checkGoesWith reports an exporter without its target and a target that the
// exporter ignores.
func checkGoesWith(v yamldoc.Value, is, needs TraceExporter, key string, target yamldoc.Value) {
	if is == needs && !target.Present() {
		v.Fail("the exporter %s needs the key %s", needs, key)
	}
	if is != needs && target.Present() {
		target.Fail("the key is only for the exporter %s", needs)
	}
}
