package replicas

import "time"

// Attempt is one request that runs at a backend server.
type Attempt struct {
	tracker *Tracker
	server  *server
	route   string
	began   time.Time
	ended   bool
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
	took := now.Sub(a.began)
	known := a.tracker.usualLocked(a.route)
	ratio := float64(took) / float64(known.get())
	switch outcome {
	case Answered:
		known.record(took)
		a.server.recordSlowness(ratio)
		a.server.recordFault(false)
		a.server.succeed()
	case Refused:
		a.server.recordFault(true)
	case Misplaced:
		a.server.misplaced = now
	case Failed:
		a.server.recordFault(true)
		a.server.fail(now)
	case Abandoned:
		if ratio > a.server.slowness {
			a.server.recordSlowness(ratio)
		}
	}
}
