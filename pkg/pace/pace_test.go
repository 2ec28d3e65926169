package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against taking a slow server for a fault for good, and against a limit
// that stays high after one slow reply.
func TestLimitFollowsTheRecentPeak(t *testing.T) {
	var p Peak
	const least = 80 * time.Millisecond
	assert.Equal(t, p.Limit(least), least)
	p.Record(100 * time.Millisecond)
	assert.Equal(t, p.Limit(least), 300*time.Millisecond)
	for range 200 {
		p.Record(5 * time.Millisecond)
	}
	assert.Equal(t, p.Limit(least), least)
}
