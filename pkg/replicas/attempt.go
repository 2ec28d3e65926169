package replicas

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

// Attempt is one request that runs at a backend server.
type Attempt struct {
	tracker *Tracker
	target  *directory.Server
	server  *server
	route   string
	began   time.Time
	due     time.Time // a later reply is late
	ended   bool
}

// End records the outcome. Only the first call has an effect.
func (a *Attempt) End(outcome Outcome, now time.Time) {
	for _, change := range a.end(outcome, now) {
		a.tracker.observe(change)
	}
}

func (a *Attempt) end(outcome Outcome, now time.Time) []Change {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.ended {
		return nil
	}
	a.ended = true
	before, failures, ejections := a.server.belief(), a.server.failures, a.server.ejections
	took := now.Sub(a.began)
	a.record(outcome, took, now)
	var changes []Change
	for _, kind := range a.server.changesSince(before) {
		changes = append(changes, Change{
			Kind:      kind,
			Server:    a.target.ID,
			Service:   a.target.Service,
			Failures:  max(failures, a.server.failures),
			Ejections: max(ejections, a.server.ejections),
			Took:      took,
			Limit:     a.server.limit.value,
		})
	}
	return changes
}

func (a *Attempt) record(outcome Outcome, took time.Duration, now time.Time) {
	a.server.remove(a)
	a.server.age(now)
	a.server.lastEnd = now
	known := a.tracker.usualLocked(a.route)
	ratio := float64(took) / float64(known.get())
	switch outcome {
	case Answered:
		known.record(took)
		a.server.recordSlowness(ratio)
		a.server.recordFault(false)
		a.server.succeed()
		if now.After(a.due) && a.due.After(a.began) {
			a.replyLate(ratio, now)
			return
		}
		a.server.limit.raise(float64(took)/float64(max(a.due.Sub(a.began), 1)), a.target.Capacity, now)
	case Refused:
		a.server.recordFault(true)
	case Misplaced:
		a.server.misplaced = now
	case Failed:
		a.server.recordFault(true)
		a.server.fail(now)
	case Expired:
		a.lowerLimit(ratio, now)
		a.server.recordLate(ratio)
	case Abandoned:
		a.server.recordLate(ratio)
	}
}

// replyLate takes into account a reply that came after it was due. It shows that the
// server works at a time of its own, so that a lower limit than for a slow server would
// only keep it idle.
func (a *Attempt) replyLate(ratio float64, now time.Time) {
	if a.server.limit.slow() {
		a.server.limit.hold(now)
		return
	}
	a.lowerLimit(ratio, now)
}

// lowerLimit takes into account that the attempt was not in time. One that had less time
// than its server usually takes tells nothing of the server.
func (a *Attempt) lowerLimit(ratio float64, now time.Time) {
	if ratio >= stallFactor {
		a.server.limit.lower(a.began, now, a.target.Capacity)
	}
}
