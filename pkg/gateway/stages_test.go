package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
)

// Guards against log lines and metrics that do not tell in which stage the time of a request
// went, and against stages in them that the request has not reached.
func TestStagesAreLoggedAndCounted(t *testing.T) {
	var log bytes.Buffer
	logger, err := telemetry.NewLogger(&log, telemetry.LogOptions{Format: telemetry.LogJSON, InstanceID: "i"})
	assert.NilError(t, err)
	registry := telemetry.NewRegistry("test")
	recorder := NewRecorder(logger, registry, func() time.Duration { return 0 })
	stages := forward.Stages{Read: time.Millisecond, FirstPart: 20 * time.Millisecond, LastPart: 1500 * time.Microsecond}
	recorder.record(t.Context(), &exchange{Status: 200, Answer: &forward.Answer{Reply: &forward.Reply{Status: 200}, Trace: forward.Trace{Stages: stages}}})
	assert.Assert(t, strings.Contains(log.String(), `"stages_ms":{"read":1,"first_part":20,"last_part":1.5}`), log.String())
	assert.Equal(t, registry.Histogram("stage_first_part").Summary().Count, int64(1))
	assert.Equal(t, registry.Histogram("stage_merge").Summary().Count, int64(0))
}
