package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/explain"
	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
)

// explained records an exchange and returns the explanation that package explain
// derives from the resulting log line alone.
func explained(t *testing.T, e exchange) explain.Explanation {
	var log bytes.Buffer
	logger, err := telemetry.NewLogger(&log, telemetry.LogOptions{Format: telemetry.LogJSON, InstanceID: "i"})
	assert.NilError(t, err)
	e.ID = "9c41"
	e.Table = routing.NewTable(7, nil, nil, routing.Limits{})
	NewRecorder(logger, telemetry.NewRegistry("test"), func() time.Duration { return 40 * time.Millisecond }).record(t.Context(), &e)
	lines, err := explain.ReadLines(&log, "9c41")
	assert.NilError(t, err)
	return explain.Explain("9c41", lines)
}

// Guards against a refusal reason that is not logged or that package explain cannot
// put into words. A reason added to forward.Reasons fails here until package explain
// has a sentence of its own for it.
func TestEveryReasonIsExplainedFromItsLine(t *testing.T) {
	seen := map[string]bool{}
	for _, reason := range forward.Reasons {
		e := exchange{Status: 503, Took: 12 * time.Millisecond, Answer: &forward.Answer{Refusal: &forward.Refusal{Reason: reason, NotRun: true, Detail: "3 of 20"}}}
		got := explained(t, e)
		assert.Assert(t, got.Found)
		assert.Assert(t, strings.Contains(got.Cause, "table version 7, confirmed 40 ms before"), got.Cause)
		assert.Assert(t, strings.Contains(got.Cause, "no backend server has run it; 3 of 20"), got.Cause)
		assert.Assert(t, !strings.Contains(got.Cause, "for the reason"), got.Cause)
		sentence := strings.SplitN(got.Cause, " after ", 2)[0]
		assert.Assert(t, !seen[sentence], sentence)
		seen[sentence] = true
	}
}

// Guards against explanations of partial and late answers that do not name the
// missing shards and the failed attempts.
func TestMissingShardsAreNamed(t *testing.T) {
	answer := &forward.Answer{Merged: &forward.Merged{Missing: 1}, Trace: forward.Trace{
		Shards: 20, Parts: 19, Missing: []string{"s3"}, Attempts: 21, Hedges: 1,
		Events: []forward.AttemptEvent{{Service: "s1", Server: "i-1", Event: "hedged"}, {Service: "s3", Server: "i-2", Event: "no reply", Detail: "connection lost"}},
	}}
	route := &routing.Route{Name: "r", TargetLatency: 100 * time.Millisecond, Shards: []string{"s1"}}
	partial := explained(t, exchange{Status: 200, Took: 90 * time.Millisecond, Route: route, Answer: answer})
	assert.Assert(t, strings.Contains(partial.Cause, "19 of 20 shards after 90 ms"), partial.Cause)
	assert.Assert(t, strings.Contains(partial.Cause, "missing: s3; attempts: no reply at i-2 of s3 (connection lost), hedged at i-1 of s1"), partial.Cause)
	late := explained(t, exchange{Status: 200, Took: 190 * time.Millisecond, Route: route, Answer: answer})
	assert.Assert(t, strings.Contains(late.Cause, "later than the route's target"), late.Cause)
}

// Guards against sorting log lines by the clocks of different machines, and against
// taking the line of a relay instance for that of the instance that answered.
func TestLinesAreOrderedByHop(t *testing.T) {
	log := `-1.5 b {"time":"2026-01-01T00:00:00Z","msg":"parts incomplete","instance":"b","request_id":"9c41"}
no record at all
{"time":"2026-01-01T00:00:09Z","msg":"request answered","instance":"a","request_id":"9c41","outcome":"complete","took_ms":3}
{"msg":"request answered","instance":"c","request_id":"9c42","outcome":"late","note":"9c41"}
`
	lines, err := explain.ReadLines(strings.NewReader(log), "9c41")
	assert.NilError(t, err)
	got := explain.Explain("9c41", lines)
	assert.Equal(t, len(got.Lines), 2)
	assert.Equal(t, got.Lines[0].Instance, "a")
	assert.Assert(t, strings.HasPrefix(got.Cause, "answered in full after 3 ms"))
	assert.Assert(t, !explain.Explain("9c43", nil).Found)
}
