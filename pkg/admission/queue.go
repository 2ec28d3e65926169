package admission

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// MaxWaiting bounds the memory of a queue. The deadline check usually
	// keeps it far shorter.
	MaxWaiting = 256
	// serviceWeight is the weight of a new sample in the service time estimate.
	serviceWeight = 0.1
)

// Queue admits requests to one backend server. All methods may be called
// concurrently.
type Queue struct {
	now   func() time.Time
	bound int // greatest number of waiting requests

	mu      sync.Mutex
	limiter limiter
	running int
	line    line
	service time.Duration // estimated service time; 0 is unknown
	wait    recentWait
}

// Stats is a reading of a queue for metrics.
type Stats struct {
	Running int
	Waiting int
	Limit   int
	Service time.Duration // estimated service time
	Wait    time.Duration // recent wait
}

// NewQueue returns the queue of a backend server with the given slots. Now is
// the clock.
func NewQueue(slots int, now func() time.Time) *Queue {
	return &Queue{now: now, bound: MaxWaiting, limiter: newLimiter(slots)}
}

// Acquire waits for a slot. Its error is a *ShedError, and the request has not
// run.
func (q *Queue) Acquire(ctx context.Context, r Request) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextShed(err, 0)
	}
	w, grant, shed := q.enter(r)
	if shed != nil {
		return nil, shed
	}
	if grant != nil {
		return grant, nil
	}
	select {
	case <-w.done:
		return q.outcome(w)
	case <-ctx.Done():
		return nil, q.leave(w, ctx.Err())
	}
}

// Wait returns the recent wait in the queue.
func (q *Queue) Wait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.wait.read(q.now())
}

// SetSlots changes the greatest concurrency, as stated by a new bundle.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.setSlots(slots)
	q.dispatchLocked()
}

// Stats returns a reading of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{
		Running: q.running,
		Waiting: q.line.len(),
		Limit:   q.limiter.current(),
		Service: q.service,
		Wait:    q.wait.read(q.now()),
	}
}

// enter grants a free slot, refuses the request or puts it in line.
func (q *Queue) enter(r Request) (*waiter, *Grant, *ShedError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if q.line.len() == 0 && q.running < q.limiter.current() {
		return q.startLocked(r, now)
	}
	position := q.line.position(r)
	wait := q.estimateLocked(position + 1)
	if !q.canMeetLocked(r, now, wait) {
		return nil, nil, &ShedError{Reason: ReasonDeadline, Wait: wait}
	}
	if q.line.len() >= q.bound {
		if position == q.line.len() {
			return nil, nil, &ShedError{Reason: ReasonQueueFull, Wait: wait}
		}
		q.shedLocked(q.line.popLast(), ReasonDisplaced, now)
	}
	w := &waiter{request: r, entered: now, done: make(chan struct{})}
	q.line.insert(position, w)
	return w, nil, nil
}

func (q *Queue) startLocked(r Request, now time.Time) (*waiter, *Grant, *ShedError) {
	if !q.canMeetLocked(r, now, 0) {
		return nil, nil, &ShedError{Reason: ReasonDeadline}
	}
	q.running++
	q.wait.record(0, now)
	return nil, &Grant{queue: q}, nil
}

// estimateLocked is the time until the given number of requests have completed.
func (q *Queue) estimateLocked(completions int) time.Duration {
	return q.service * time.Duration(completions) / time.Duration(q.limiter.current())
}

// canMeetLocked reports whether a request that starts after wait can complete
// by its deadline. An idle server takes any request that is not yet late, so
// that a service time estimate that is too high gets corrected.
func (q *Queue) canMeetLocked(r Request, now time.Time, wait time.Duration) bool {
	if r.Deadline.IsZero() {
		return true
	}
	if !now.Before(r.Deadline) {
		return false
	}
	if q.running == 0 {
		return true
	}
	return !now.Add(wait + q.service).After(r.Deadline)
}

// dispatchLocked starts waiting requests while there are free slots.
func (q *Queue) dispatchLocked() {
	now := q.now()
	for q.running < q.limiter.current() && q.line.len() > 0 {
		w := q.line.popFirst()
		if !q.canMeetLocked(w.request, now, 0) {
			q.shedLocked(w, ReasonDeadline, now)
			continue
		}
		q.running++
		q.wait.record(now.Sub(w.entered), now)
		close(w.done)
	}
}

func (q *Queue) shedLocked(w *waiter, reason Reason, now time.Time) {
	wait := now.Sub(w.entered)
	q.wait.record(wait, now)
	w.err = &ShedError{Reason: reason, Wait: wait}
	close(w.done)
}

func (q *Queue) outcome(w *waiter) (*Grant, error) {
	if w.err != nil {
		return nil, w.err
	}
	return &Grant{queue: q, wait: q.now().Sub(w.entered)}, nil
}

// leave takes a request whose context has ended out of the line. If it was
// granted meanwhile, the slot goes to the next one.
func (q *Queue) leave(w *waiter, cause error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	wait := now.Sub(w.entered)
	if q.line.remove(w) {
		q.wait.record(wait, now)
	} else if w.err == nil {
		q.running--
		q.dispatchLocked()
	}
	return contextShed(cause, wait)
}

func (q *Queue) release(service time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	switch {
	case !ok:
		q.limiter.lower(q.now(), q.service)
	case service > 0:
		q.observeLocked(service)
		q.limiter.raise()
	}
	q.dispatchLocked()
}

func (q *Queue) observeLocked(service time.Duration) {
	if q.service == 0 {
		q.service = service
		return
	}
	q.service += time.Duration(serviceWeight * float64(service-q.service))
}

func contextShed(cause error, wait time.Duration) *ShedError {
	reason := ReasonCancelled
	if errors.Is(cause, context.DeadlineExceeded) {
		reason = ReasonDeadline
	}
	return &ShedError{Reason: reason, Wait: wait, Cause: cause}
}
