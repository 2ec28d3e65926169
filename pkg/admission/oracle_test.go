package admission

import (
	"context"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// oracle is a simple model of Queue. It keeps the waiting requests unsorted and
// sorts a copy whenever it needs the order. It takes the concurrency limit and
// the service time estimate from the queue and shares no other code with it.
type oracle struct {
	limit, running int
	maxWaiting     int
	waiting        []*waiter
	serviceTime    time.Duration
}

func (o *oracle) sorted() []*waiter {
	out := append([]*waiter(nil), o.waiting...)
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i].request, out[j].request
		if a.Priority == b.Priority {
			return a.Arrival.UnixNano() < b.Arrival.UnixNano()
		}
		return a.Priority < b.Priority
	})
	return out
}

func (o *oracle) remove(w *waiter) {
	for i := range o.waiting {
		if o.waiting[i] == w {
			o.waiting = append(o.waiting[:i:i], o.waiting[i+1:]...)
			return
		}
	}
}

func (o *oracle) missesDeadline(r Request, now time.Time, wait time.Duration) bool {
	if !now.Before(r.Deadline) {
		return true
	}
	return o.running > 0 && now.Add(wait+o.serviceTime).After(r.Deadline)
}

// admitOrEnqueue returns the expected reason of refusal, the displaced waiter,
// and whether a slot is granted at once.
func (o *oracle) admitOrEnqueue(r Request, now time.Time) (reason Reason, displaced *waiter, granted bool) {
	if len(o.waiting) == 0 && o.running < o.limit {
		if o.missesDeadline(r, now, 0) {
			return ReasonDeadline, nil, false
		}
		o.running++
		return "", nil, true
	}
	ahead := 0
	for _, w := range o.waiting {
		if w.request.Priority < r.Priority ||
			w.request.Priority == r.Priority && !w.request.Arrival.After(r.Arrival) {
			ahead++
		}
	}
	if o.missesDeadline(r, now, o.serviceTime*time.Duration(ahead+1)/time.Duration(o.limit)) {
		return ReasonDeadline, nil, false
	}
	if len(o.waiting) == o.maxWaiting {
		if ahead == o.maxWaiting {
			return ReasonQueueFull, nil, false
		}
		displaced = o.sorted()[o.maxWaiting-1]
		o.remove(displaced)
	}
	return "", displaced, false
}

// dispatch returns the waiters that are granted a slot and those that are shed.
func (o *oracle) dispatch(now time.Time) (granted, shed []*waiter) {
	for _, w := range o.sorted() {
		if o.running >= o.limit {
			break
		}
		o.remove(w)
		if o.missesDeadline(w.request, now, 0) {
			shed = append(shed, w)
			continue
		}
		o.running++
		granted = append(granted, w)
	}
	return granted, shed
}

// queueModel drives a queue through its non-blocking methods, in step with the
// oracle.
type queueModel struct {
	clock  *clock
	queue  *Queue
	oracle oracle
	grants int
}

func (m *queueModel) enter(t *rapid.T) {
	r := Request{
		Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
		Arrival:  m.clock.at.Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Millisecond),
		Deadline: m.clock.at.Add(time.Duration(rapid.IntRange(-1, 400).Draw(t, "left")) * time.Millisecond),
	}
	reason, displaced, granted := m.oracle.admitOrEnqueue(r, m.clock.at)
	w, grant, shed := m.queue.admitOrEnqueue(r)
	if shed != nil {
		assert.Equal(t, shed.Reason, reason, "reason")
		return
	}
	assert.Equal(t, reason, Reason(""), "refused")
	assert.Equal(t, grant != nil, granted, "granted at once")
	if displaced != nil {
		m.checkShed(t, displaced, ReasonDisplaced)
	}
	if grant != nil {
		m.grants++
		return
	}
	m.oracle.waiting = append(m.oracle.waiting, w)
}

func (m *queueModel) release(t *rapid.T) {
	if m.grants == 0 {
		t.Skip("nothing runs")
	}
	serviceTime := time.Duration(rapid.IntRange(0, 50).Draw(t, "service")) * time.Millisecond
	accepted := rapid.IntRange(0, 4).Draw(t, "shed by server") > 0
	m.grants--
	m.queue.release(serviceTime, accepted)
	m.oracle.running--
	m.checkDispatch(t)
}

// checkDispatch copies the limit and the service time estimate from the queue to
// the oracle and checks which waiters are granted or shed under them.
func (m *queueModel) checkDispatch(t *rapid.T) {
	m.oracle.limit = m.queue.limiter.current()
	m.oracle.serviceTime = m.queue.serviceTime
	granted, shed := m.oracle.dispatch(m.clock.at)
	for _, w := range granted {
		select {
		case <-w.done:
		default:
			t.Fatalf("not granted: %+v", w.request)
		}
		assert.Assert(t, w.shed == nil, "shed")
		m.grants++
	}
	for _, w := range shed {
		m.checkShed(t, w, ReasonDeadline)
	}
}

func (m *queueModel) checkShed(t *rapid.T, w *waiter, reason Reason) {
	select {
	case <-w.done:
	default:
		t.Fatalf("not shed: %+v", w.request)
	}
	if w.shed == nil || w.shed.Reason != reason {
		t.Fatalf("shed with %v, want %s", w.shed, reason)
	}
}

func (m *queueModel) cancel(t *rapid.T) {
	if len(m.oracle.waiting) == 0 {
		t.Skip("nothing waits")
	}
	w := rapid.SampledFrom(m.oracle.waiting).Draw(t, "cancelled")
	_ = m.queue.cancelWait(w, context.Canceled)
	m.oracle.remove(w)
}

// Guards against serving out of order, exceeding the limit, losing a slot and
// running a request that was refused.
func TestQueueMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		m := &queueModel{clock: newClock()}
		m.queue = NewQueue(slots, m.clock.now)
		m.queue.maxWaiting = rapid.IntRange(1, 8).Draw(t, "bound")
		m.oracle.limit, m.oracle.maxWaiting = slots, m.queue.maxWaiting
		t.Repeat(map[string]func(*rapid.T){
			"enter": m.enter,
			"burst": func(t *rapid.T) {
				for range 10 {
					m.enter(t)
				}
			},
			"release": m.release,
			"cancel":  m.cancel,
			"advance": func(t *rapid.T) {
				m.clock.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"slots": func(t *rapid.T) {
				m.queue.SetSlots(rapid.IntRange(1, 4).Draw(t, "slots"))
				m.checkDispatch(t)
			},
			"": func(t *rapid.T) {
				stats := m.queue.Stats()
				assert.Equal(t, stats.Running, m.oracle.running, "running")
				assert.Equal(t, stats.Running, m.grants, "running and granted")
				assert.Equal(t, stats.Waiting, len(m.oracle.waiting), "waiting")
				if stats.Limit < 1 || stats.Limit > 4 {
					t.Fatalf("limit is %d, want 1 to 4", stats.Limit)
				}
			},
		})
	})
}
