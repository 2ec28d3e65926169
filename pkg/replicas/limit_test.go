package replicas

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

const slots = 2

// Guards against a limit without a reason, and against many cuts for the attempts
// that one pause of a server has delayed.
func TestLimitIsLoweredOncePerMoment(t *testing.T) {
	var l limit
	now := time.Unix(1000, 0)
	assert.Assert(t, !l.full(50, 0, time.Second))
	for range 10 {
		l.lower(now, now.Add(100*time.Millisecond), slots)
	}
	assert.Equal(t, l.value, 0.0, "one pause")
	now = now.Add(2 * longestPause)
	for range 10 {
		l.lower(now, now.Add(100*time.Millisecond), slots)
	}
	assert.Equal(t, l.value, float64(slots))
	assert.Assert(t, l.full(slots, 0, time.Second))
	assert.Assert(t, !l.full(slots-1, 0, time.Second))
	later := now.Add(200 * time.Millisecond)
	l.lower(later, later.Add(100*time.Millisecond), slots)
	assert.Equal(t, l.value, float64(slots)/2)
}

// Guards against a server that is never tried again, and against one that is
// tried all the time although nothing comes back in time.
func TestLimitBelowOnePausesBetweenAttempts(t *testing.T) {
	var l limit
	now := time.Unix(1000, 0)
	for range 20 {
		now = now.Add(time.Second)
		l.lower(now, now, slots)
	}
	assert.Equal(t, l.value, leastLimit)
	usual := 100 * time.Millisecond
	assert.Assert(t, l.full(0, usual, usual))
	assert.Assert(t, !l.full(0, 10*usual, usual))
	assert.Assert(t, l.full(1, 10*usual, usual))
}

// Guards against a limit after two pauses with fast replies between them.
func TestPausesAreNoShortage(t *testing.T) {
	var l limit
	now := time.Unix(1000, 0)
	for range 10 {
		l.lower(now, now.Add(100*time.Millisecond), slots)
		l.raise(0.1, slots, now)
		now = now.Add(500 * time.Millisecond)
	}
	assert.Equal(t, l.value, 0.0)
}

// The pattern: a calm day of short requests, whose time is over several times within
// one pause of a server, and a server that gets too few of them for fast replies in a
// row. Guards against limits that start there or that stay.
func TestShortRequestsDoNotLimitAPausingServer(t *testing.T) {
	var l limit
	now := time.Unix(1000, 0)
	for range 4 {
		l.lower(now, now.Add(40*time.Millisecond), slots)
		now = now.Add(50 * time.Millisecond)
	}
	assert.Equal(t, l.value, 0.0)
	l.lower(now.Add(longestPause), now.Add(2*longestPause), slots)
	assert.Assert(t, l.value > 0)
	l.age(now.Add(limitMemory))
	assert.Assert(t, l.value > 0)
	l.age(now.Add(2*longestPause + limitMemory + 1))
	assert.Equal(t, l.value, 0.0)
}

// Guards against a limit that outlives the shortage, and against one that a few late
// replies lift.
func TestLimitIsLiftedByFastReplies(t *testing.T) {
	var l limit
	now := time.Unix(1000, 0)
	l.lower(now, now, slots)
	l.lower(now.Add(longestPause), now.Add(longestPause), slots)
	for range 100 {
		l.raise(0.9, slots, now)
	}
	assert.Equal(t, l.value, float64(slots))
	for range fastReplies - 1 {
		l.raise(0.1, slots, now)
	}
	l.raise(0.9, slots, now)
	assert.Equal(t, l.value, float64(slots))
	for range fastReplies {
		l.raise(0.1, slots, now)
	}
	assert.Equal(t, l.value, 0.0)
}

// The pattern: a server that is slow also with one attempt at a time, and finishes it after
// the reply was due. Guards against a limit that goes on falling, so that the server is idle
// while parts wait for it, and against one that is forgotten while replies are late.
func TestSlowServerIsNotLimitedFurtherByLateReplies(t *testing.T) {
	b := newBench()
	late := func() lateState {
		a := b.Begin(b.local, route, b.now, b.now.Add(3*normal)) // longer than stallFactor
		b.now = b.now.Add(2 * longestPause)
		a.End(Answered, b.now)
		choice, _ := b.Choose([]*directory.Server{b.local}, route, none, b.now)
		return lateState{choice.Slow, b.servers[b.local.Key()].limit.value}
	}
	assert.Equal(t, late(), lateState{false, 0})
	assert.Equal(t, late(), lateState{false, slots})
	for range 10 {
		late()
	}
	assert.Equal(t, late(), lateState{true, limitCut})
}

// lateState is what a late reply leaves of a server.
type lateState struct {
	slow  bool
	limit float64
}
