package replicas

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

const capacity = 2

// Guards against a limit before attempts were late twice, and against lowering the limit
// once for each attempt that one pause of a server delays.
func TestLimitIsLoweredOncePerMoment(t *testing.T) {
	var l concurrencyLimit
	now := time.Unix(1000, 0)
	assert.Assert(t, !l.full(50, 0, time.Second))
	for range 10 {
		l.lower(now, now.Add(100*time.Millisecond), capacity)
	}
	assert.Equal(t, l.value, 0.0, "one pause")
	now = now.Add(2 * maxPause)
	for range 10 {
		l.lower(now, now.Add(100*time.Millisecond), capacity)
	}
	assert.Equal(t, l.value, float64(capacity))
	assert.Assert(t, l.full(capacity, 0, time.Second))
	assert.Assert(t, !l.full(capacity-1, 0, time.Second))
	later := now.Add(200 * time.Millisecond)
	l.lower(later, later.Add(100*time.Millisecond), capacity)
	assert.Equal(t, l.value, float64(capacity)/2)
}

// Guards against never trying a limited server again, and against trying it all the time
// although no reply comes in time.
func TestLimitBelowOnePausesBetweenAttempts(t *testing.T) {
	var l concurrencyLimit
	now := time.Unix(1000, 0)
	for range 20 {
		now = now.Add(time.Second)
		l.lower(now, now, capacity)
	}
	assert.Equal(t, l.value, minLimit)
	latency := 100 * time.Millisecond
	assert.Assert(t, l.full(0, latency, latency))
	assert.Assert(t, !l.full(0, 10*latency, latency))
	assert.Assert(t, l.full(1, 10*latency, latency))
}

// Guards against a limit caused by separate pauses with fast replies between them.
func TestPausesAreNoShortage(t *testing.T) {
	var l concurrencyLimit
	now := time.Unix(1000, 0)
	for range 10 {
		l.lower(now, now.Add(100*time.Millisecond), capacity)
		l.raise(0.1, capacity, now)
		now = now.Add(500 * time.Millisecond)
	}
	assert.Equal(t, l.value, 0.0)
}

// Guards against a limit caused by one pause of a server when requests are short, so that
// several attempts in turn are late within the pause. Also guards against a limit that
// stays because a server with little traffic gets too few fast replies to lift it.
func TestShortRequestsDoNotLimitAPausingServer(t *testing.T) {
	var l concurrencyLimit
	now := time.Unix(1000, 0)
	for range 4 {
		l.lower(now, now.Add(40*time.Millisecond), capacity)
		now = now.Add(50 * time.Millisecond)
	}
	assert.Equal(t, l.value, 0.0)
	l.lower(now.Add(maxPause), now.Add(2*maxPause), capacity)
	assert.Assert(t, l.value > 0)
	l.expire(now.Add(limitExpiry))
	assert.Assert(t, l.value > 0)
	l.expire(now.Add(2*maxPause + limitExpiry + 1))
	assert.Equal(t, l.value, 0.0)
}

// Guards against a limit that stays after the overload, and against lifting it before
// enough consecutive replies are fast.
func TestLimitIsLiftedByFastReplies(t *testing.T) {
	var l concurrencyLimit
	now := time.Unix(1000, 0)
	l.lower(now, now, capacity)
	l.lower(now.Add(maxPause), now.Add(maxPause), capacity)
	for range 100 {
		l.raise(0.9, capacity, now)
	}
	assert.Equal(t, l.value, float64(capacity))
	for range fastRepliesToLift - 1 {
		l.raise(0.1, capacity, now)
	}
	l.raise(0.9, capacity, now)
	assert.Equal(t, l.value, float64(capacity))
	for range fastRepliesToLift {
		l.raise(0.1, capacity, now)
	}
	assert.Equal(t, l.value, 0.0)
}

// Guards against lowering the limit of a server that replies late even with one attempt at
// a time: the server would be idle while parts wait for it. Also guards against the limit
// expiring while replies are late.
func TestSlowServerIsNotLimitedFurtherByLateReplies(t *testing.T) {
	b := newTestTracker()
	late := func() lateState {
		a := b.Begin(b.local, route, b.now, b.now.Add(3*typicalLatency)) // due after more than stallFactor
		b.now = b.now.Add(2 * maxPause)
		a.End(Answered, b.now)
		choice, _ := b.Choose([]*directory.Server{b.local}, route, none, b.now)
		return lateState{choice.Slow, b.servers[b.local.Key()].limit.value}
	}
	assert.Equal(t, late(), lateState{false, 0})
	assert.Equal(t, late(), lateState{false, capacity})
	for range 10 {
		late()
	}
	assert.Equal(t, late(), lateState{true, limitDecreaseFactor})
}

// lateState is the state of a server after a late reply.
type lateState struct {
	slow  bool
	limit float64
}
