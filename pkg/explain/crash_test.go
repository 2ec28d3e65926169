package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an explanation that omits the crash of an instance, such as a power
// loss, when no log record names the request, and against one that blames a planned
// restart.
func TestCrashedInstanceIsNamedForARequestWithoutLines(t *testing.T) {
	log := `{"time":"T1","msg":"started","instance":"a"}
1.5 b {"time":"T2","msg":"started","instance":"b"}
{"time":"T3","msg":"request answered","instance":"a","request_id":"9c41"}
{"time":"T4","msg":"stopped","instance":"b"}
no record
{"time":"T5","msg":"started","instance":"b"}
{"time":"T6","msg":"started","instance":"a"}
`
	crashes, err := ReadCrashes(strings.NewReader(log))
	assert.NilError(t, err)
	assert.DeepEqual(t, crashes, []Crash{{Instance: "a", StartedAt: "T6", LastRecordAt: "T3"}})
	got := Explain("9c42", nil).WithCrashes(crashes)
	assert.Assert(t, strings.HasSuffix(got.Cause, "ended without a stop: a after T3 (started again at T6)"), got.Cause)
	known := Explain("9c41", []Line{{Instance: "a"}}).WithCrashes(crashes)
	assert.Equal(t, len(known.Crashes), 0)
}
