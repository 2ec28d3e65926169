package adaptivetimeout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a timeout that does not grow with slow replies, so that a slow server
// always counts as failed, and against one that stays high after a single slow reply.
func TestLimitFollowsTheRecentPeak(t *testing.T) {
	var p Estimator
	const minimum = 80 * time.Millisecond
	assert.Equal(t, p.Timeout(minimum), minimum)
	p.Record(100 * time.Millisecond)
	assert.Equal(t, p.Timeout(minimum), 300*time.Millisecond)
	for range 200 {
		p.Record(5 * time.Millisecond)
	}
	assert.Equal(t, p.Timeout(minimum), minimum)
}
