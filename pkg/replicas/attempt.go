package replicas

import "time"

// Attempt is one request that runs at a backend server.
type Attempt struct {
	tracker *Tracker
	server  *server
	route   string
	began   time.Time
	until   time.Time // a later reply is of no use
	// capacity is the number of requests that the server runs at once.
	capacity int
	ended    bool
}

// End records the outcome. Only the first call has an effect.
func (a *Attempt) End(outcome Outcome, now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.server.remove(a)
	a.server.age(now)
	a.server.lastEnd = now
	took := now.Sub(a.began)
	known := a.tracker.usualLocked(a.route)
	ratio := float64(took) / float64(known.get())
	switch outcome {
	case Answered:
		known.record(took)
		a.server.recordSlowness(ratio)
		a.server.recordFault(false)
		a.server.succeed()
		a.server.limit.raise(float64(took)/float64(max(a.until.Sub(a.began), 1)), a.capacity)
	case Refused:
		a.server.recordFault(true)
	case Misplaced:
		a.server.misplaced = now
	case Failed:
		a.server.recordFault(true)
		a.server.fail(now)
	case Expired:
		a.server.limit.lower(a.began, now, a.capacity)
		a.server.recordLate(ratio)
	case Abandoned:
		a.server.recordLate(ratio)
	}
}
