package shedding

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against pauses that let the less urgent return before the more urgent, that end before
// capacity is expected without need, that the caller would not honour, or that are all the same.
func TestPausesAreOrderedAndHonoured(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := rapid.IntRange(1, 4).Draw(t, "classes")
		capacity := time.Duration(rapid.IntRange(10, 2000).Draw(t, "capacity ms")) * time.Millisecond
		remaining := time.Duration(rapid.IntRange(0, 5000).Draw(t, "remaining ms")) * time.Millisecond
		last := time.Duration(-1)
		for above := range classes {
			p := Pause{Capacity: capacity, Above: above, Below: classes - 1 - above, Remaining: remaining}
			from, to := p.at(0), p.at(1)
			assert.Assert(t, from >= last, "priority %d may return before priority %d", above, above-1)
			assert.Assert(t, from < to)
			last = to
			if remaining > 0 {
				assert.Assert(t, to <= remaining/3+1, "%v of %v", to, remaining)
			}
			assert.Assert(t, from >= min(capacity, remaining/6) || remaining == 0 && from >= capacity, "%v", from)
		}
	})
}

// Guards against a request that is taken for one that came back, and against memory that grows
// with the refused requests.
func TestRefusedRequestsAreRecognisedOnce(t *testing.T) {
	r, now := NewRefused(), time.Unix(100, 0)
	r.Add(1, time.Second, now)
	r.Add(2, time.Second, now)
	assert.Assert(t, r.Take(1, now.Add(time.Second)))
	assert.Assert(t, !r.Take(1, now.Add(time.Second)), "a second request with the same content is new")
	assert.Assert(t, !r.Take(2, now.Add(time.Second+returnWindow)), "too late")
	assert.Assert(t, !r.Take(3, now))
	for i := range 3 * maxRefused {
		r.Add(uint64(i), time.Second, now)
	}
	assert.Assert(t, len(r.until) <= maxRefused && len(r.order) <= maxRefused)
}
