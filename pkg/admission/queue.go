package admission

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// MaxWaiting bounds the number of waiting requests and thereby the memory of a
	// queue. The deadline check usually keeps the queue far shorter.
	MaxWaiting = 256
	// serviceTimeWeight is the weight of a new sample in the service time estimate.
	serviceTimeWeight = 0.1
)

// Queue admits requests to one backend server. It is safe for concurrent use.
type Queue struct {
	now        func() time.Time
	maxWaiting int // greatest number of waiting requests

	mu          sync.Mutex
	limiter     limiter
	running     int
	waiting     waitList
	serviceTime time.Duration // estimated service time; 0 is unknown
	recentWait  recentWait
}

// Stats is the state of a queue at one moment, for metrics.
type Stats struct {
	Running     int
	Waiting     int
	Limit       int
	ServiceTime time.Duration // estimated service time
	RecentWait  time.Duration // moving average of the waits
}

// NewQueue returns the queue of a backend server with the given slots. It reads
// the time from now.
func NewQueue(slots int, now func() time.Time) *Queue {
	return &Queue{now: now, maxWaiting: MaxWaiting, limiter: newLimiter(slots)}
}

// Acquire waits for a slot. If it returns an error, the error is a *ShedError
// and the request has not run.
func (q *Queue) Acquire(ctx context.Context, r Request) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextShedError(err, 0)
	}
	w, grant, shed := q.admitOrEnqueue(r)
	if shed != nil {
		return nil, shed
	}
	if grant != nil {
		return grant, nil
	}
	select {
	case <-w.done:
		return q.grantOrError(w)
	case <-ctx.Done():
		return nil, q.cancelWait(w, ctx.Err())
	}
}

// RecentWait returns the moving average of the recent waits.
func (q *Queue) RecentWait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.recentWait.current(q.now())
}

// SetSlots changes the maximum concurrency to the slots that a new bundle states.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.setSlots(slots)
	q.dispatchLocked()
}

// Stats returns the current state of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{
		Running:     q.running,
		Waiting:     q.waiting.len(),
		Limit:       q.limiter.current(),
		ServiceTime: q.serviceTime,
		RecentWait:  q.recentWait.current(q.now()),
	}
}

// admitOrEnqueue grants a free slot, refuses the request or enqueues it. Exactly
// one of the results is not nil.
func (q *Queue) admitOrEnqueue(r Request) (*waiter, *Grant, *ShedError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if q.waiting.len() == 0 && q.running < q.limiter.current() {
		return q.grantLocked(r, now)
	}
	position := q.waiting.position(r)
	wait := q.estimateWaitLocked(position + 1)
	if !q.canMeetDeadlineLocked(r, now, wait) {
		return nil, nil, &ShedError{Reason: ReasonDeadline, Wait: wait}
	}
	if q.waiting.len() >= q.maxWaiting {
		if position == q.waiting.len() {
			return nil, nil, &ShedError{Reason: ReasonQueueFull, Wait: wait}
		}
		q.shedLocked(q.waiting.popLast(), ReasonDisplaced, now)
	}
	w := &waiter{request: r, enqueued: now, done: make(chan struct{})}
	q.waiting.insert(position, w)
	return w, nil, nil
}

// grantLocked grants a free slot unless the deadline has passed or cannot be met.
func (q *Queue) grantLocked(r Request, now time.Time) (*waiter, *Grant, *ShedError) {
	if !q.canMeetDeadlineLocked(r, now, 0) {
		return nil, nil, &ShedError{Reason: ReasonDeadline}
	}
	q.running++
	q.recentWait.record(0, now)
	return nil, &Grant{queue: q}, nil
}

// estimateWaitLocked estimates the time until the given number of requests have
// completed.
func (q *Queue) estimateWaitLocked(completions int) time.Duration {
	return q.serviceTime * time.Duration(completions) / time.Duration(q.limiter.current())
}

// canMeetDeadlineLocked reports whether a request that starts after wait can
// complete by its deadline. An idle server accepts any request whose deadline
// has not passed, so that a service time estimate that is too high is corrected
// by new samples.
func (q *Queue) canMeetDeadlineLocked(r Request, now time.Time, wait time.Duration) bool {
	if r.Deadline.IsZero() {
		return true
	}
	if !now.Before(r.Deadline) {
		return false
	}
	if q.running == 0 {
		return true
	}
	return !now.Add(wait + q.serviceTime).After(r.Deadline)
}

// dispatchLocked grants free slots to waiting requests and sheds those that can
// no longer meet their deadlines.
func (q *Queue) dispatchLocked() {
	now := q.now()
	for q.running < q.limiter.current() && q.waiting.len() > 0 {
		w := q.waiting.popFirst()
		if !q.canMeetDeadlineLocked(w.request, now, 0) {
			q.shedLocked(w, ReasonDeadline, now)
			continue
		}
		q.running++
		q.recentWait.record(now.Sub(w.enqueued), now)
		close(w.done)
	}
}

// shedLocked refuses a request that was waiting. The caller has removed it from
// the wait list.
func (q *Queue) shedLocked(w *waiter, reason Reason, now time.Time) {
	wait := now.Sub(w.enqueued)
	q.recentWait.record(wait, now)
	w.shed = &ShedError{Reason: reason, Wait: wait}
	close(w.done)
}

// grantOrError returns the grant of a waiter that is done, or its *ShedError.
func (q *Queue) grantOrError(w *waiter) (*Grant, error) {
	if w.shed != nil {
		return nil, w.shed
	}
	return &Grant{queue: q, wait: q.now().Sub(w.enqueued)}, nil
}

// cancelWait removes a request whose context has ended. If a slot was granted to
// it in the meantime, the slot is passed on.
func (q *Queue) cancelWait(w *waiter, cause error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	wait := now.Sub(w.enqueued)
	if q.waiting.remove(w) {
		q.recentWait.record(wait, now)
	} else if w.shed == nil {
		q.running--
		q.dispatchLocked()
	}
	return contextShedError(cause, wait)
}

// release frees a slot and adapts the limit and the service time estimate.
func (q *Queue) release(serviceTime time.Duration, accepted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	switch {
	case !accepted:
		q.limiter.decrease(q.now(), q.serviceTime)
	case serviceTime > 0:
		q.recordServiceTimeLocked(serviceTime)
		q.limiter.increase()
	}
	q.dispatchLocked()
}

// recordServiceTimeLocked updates the service time estimate.
func (q *Queue) recordServiceTimeLocked(serviceTime time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = serviceTime
		return
	}
	q.serviceTime += time.Duration(serviceTimeWeight * float64(serviceTime-q.serviceTime))
}

// contextShedError returns the refusal of a request whose context has ended.
func contextShedError(cause error, wait time.Duration) *ShedError {
	reason := ReasonCancelled
	if errors.Is(cause, context.DeadlineExceeded) {
		reason = ReasonDeadline
	}
	return &ShedError{Reason: reason, Wait: wait, Cause: cause}
}
