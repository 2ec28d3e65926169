package admission

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func acquire(t *testing.T, q *Queue, ctx context.Context, r Request) *Grant {
	t.Helper()
	g, err := q.Acquire(ctx, r)
	if err != nil {
		t.Fatalf("acquire: %v", err)
	}
	return g
}

// Guards against a limit that leaves the range from 1 to slots, that falls
// several times in one burst of shed requests, or that never recovers.
func TestLimitAdapts(t *testing.T) {
	clock := newClock()
	q := NewQueue(4, clock.now)
	acquire(t, q, t.Context(), Request{}).Release(10*time.Millisecond, true)
	for range 5 {
		acquire(t, q, t.Context(), Request{}).Release(0, false)
	}
	assert.Equal(t, q.Stats().Limit, 2, "limit after a burst")
	for range 20 {
		clock.advance(time.Second)
		acquire(t, q, t.Context(), Request{}).Release(0, false)
	}
	assert.Equal(t, q.limiter.limit, 1.0, "lowest limit")
	for range 100 {
		acquire(t, q, t.Context(), Request{}).Release(10*time.Millisecond, true)
	}
	assert.Equal(t, q.Stats().Limit, 4, "limit after recovery")
}

// Guards against a slot that is lost if a waiter is cancelled after its grant,
// and against one grant being released twice.
func TestCancelledWaiterKeepsNoSlot(t *testing.T) {
	q := NewQueue(1, newClock().now)
	running := acquire(t, q, t.Context(), Request{})
	w, _, _ := q.admitOrEnqueue(Request{})
	running.Release(0, true)
	running.Release(0, true)
	assert.Equal(t, q.Stats().Running, 1, "running")
	var shed *ShedError
	if err := q.cancelWait(w, context.Canceled); !errors.As(err, &shed) || !errors.Is(err, context.Canceled) {
		t.Fatalf("cancelWait returned %v", err)
	}
	assert.Equal(t, shed.Reason, ReasonCancelled, "reason")
	assert.Equal(t, q.Stats().Running, 0, "running")
}

// Guards against a recent wait that stays high without traffic. A rule that
// refuses requests on it would then refuse forever.
func TestRecentWaitDecays(t *testing.T) {
	clock := newClock()
	q := NewQueue(1, clock.now)
	running := acquire(t, q, t.Context(), Request{})
	w, _, _ := q.admitOrEnqueue(Request{})
	clock.advance(time.Second)
	running.Release(0, true)
	g, err := q.grantOrError(w)
	if err != nil {
		t.Fatal(err)
	}
	assert.Equal(t, g.Wait(), time.Second, "wait of the grant")
	assert.Equal(t, q.RecentWait(), 100*time.Millisecond, "recent wait")
	clock.advance(10 * time.Second)
	assert.Assert(t, q.RecentWait() < time.Millisecond, "recent wait is small")
}

// Guards against a service time estimate that is too high and is never
// corrected because every request is refused on it.
func TestIdleServerTakesRequestDespiteEstimate(t *testing.T) {
	clock := newClock()
	q := NewQueue(1, clock.now)
	acquire(t, q, t.Context(), Request{}).Release(time.Hour, true)
	r := Request{Deadline: clock.at.Add(100 * time.Millisecond)}
	g := acquire(t, q, t.Context(), r)
	_, err := q.Acquire(t.Context(), r)
	var shed *ShedError
	if !errors.As(err, &shed) {
		t.Fatalf("second request: %v", err)
	}
	assert.Equal(t, shed.Reason, ReasonDeadline, "reason")
	g.Release(time.Millisecond, true)
}
