package gateway

import (
	"log/slog"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
)

// stageNames are the names of the stages in logs and metrics, in the order of durations.
var stageNames = [...]string{"read", "fan_out", "wait", "first_part", "last_part", "merge", "write"}

func durations(s *forward.Stages) [len(stageNames)]time.Duration {
	return [...]time.Duration{s.Read, s.FanOut, s.Wait, s.FirstPart, s.LastPart, s.Merge, s.Write}
}

// stageMetrics are the histograms of the stages of requests.
type stageMetrics [len(stageNames)]*telemetry.Histogram

func newStageMetrics(registry *telemetry.Registry) *stageMetrics {
	m := &stageMetrics{}
	for i, name := range stageNames {
		m[i] = registry.Histogram("stage_" + name)
	}
	return m
}

// record counts the stages that a request has reached.
func (m *stageMetrics) record(s *forward.Stages) {
	for i, d := range durations(s) {
		if d > 0 {
			m[i].Record(d)
		}
	}
}

// stageAttr returns the durations of the stages that a request has reached, in ms.
func stageAttr(s *forward.Stages) slog.Attr {
	attrs := make([]slog.Attr, 0, len(stageNames))
	for i, d := range durations(s) {
		if d > 0 {
			attrs = append(attrs, slog.Float64(stageNames[i], milliseconds(d)))
		}
	}
	return slog.Attr{Key: "stages_ms", Value: slog.GroupValue(attrs...)}
}
