package replicas

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

// Attempt is one request that this instance has sent to a backend server.
type Attempt struct {
	tracker *Tracker
	target  *directory.Server
	server  *server
	route   string
	began   time.Time
	due     time.Time // a reply after this time is late; equal to began if no reply is late
	ended   bool
}

// Observe records what the server states about itself in its reply.
func (a *Attempt) Observe(notice Notice, now time.Time) {
	for _, kind := range a.observe(notice, now) {
		a.tracker.onChange(Change{
			Kind:    kind,
			Server:  a.target.ID,
			Service: a.target.Service,
			Took:    now.Sub(a.began),
			Pause:   notice.PauseFor,
			Rate:    notice.RateLimit,
		})
	}
}

func (a *Attempt) observe(notice Notice, now time.Time) []ChangeKind {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	var kinds []ChangeKind
	if notice.PauseFor > 0 {
		kinds = append(kinds, ChangePaused)
		if until := now.Add(notice.PauseFor); until.After(a.server.pausedUntil) {
			a.server.pausedUntil = until
		}
	}
	if notice.Load != nil {
		a.server.load = statedLoad{Load: *notice.Load, at: now}
	}
	if notice.ColdFor > 0 {
		a.server.statedColdUntil = now.Add(notice.ColdFor)
	}
	if notice.Leaving && !a.server.leaving {
		a.server.leaving = true
		kinds = append(kinds, ChangeLeaving)
	}
	before := a.server.rate.limit
	a.server.rate.observe(notice.RateLimit, a.began, now)
	switch after := a.server.rate.limit; {
	case after == 0 && before != 0:
		kinds = append(kinds, ChangeRateLifted)
	case after != before:
		kinds = append(kinds, ChangeRateNamed)
	}
	return kinds
}

// End records the outcome of the attempt and reports the health changes that it causes.
// Only the first call has an effect.
func (a *Attempt) End(outcome Outcome, now time.Time) {
	for _, change := range a.end(outcome, now) {
		a.tracker.onChange(change)
	}
}

func (a *Attempt) end(outcome Outcome, now time.Time) []Change {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.ended {
		return nil
	}
	a.ended = true
	before, failures, ejections := a.server.health(), a.server.consecutiveFailures, a.server.consecutiveEjections
	took := now.Sub(a.began)
	a.record(outcome, took, now)
	var changes []Change
	for _, kind := range a.server.healthChanges(before) {
		changes = append(changes, Change{
			Kind:      kind,
			Server:    a.target.ID,
			Service:   a.target.Service,
			Failures:  max(failures, a.server.consecutiveFailures),
			Ejections: max(ejections, a.server.consecutiveEjections),
			Took:      took,
			Limit:     a.server.limit.value,
		})
	}
	return changes
}

func (a *Attempt) record(outcome Outcome, took time.Duration, now time.Time) {
	a.server.removeAttempt(a)
	a.server.age(now)
	a.server.lastAttemptEnd = now
	latency := a.tracker.latencyLocked(a.route)
	serverTime := a.tracker.withoutWay(a.target, took)
	ratio := float64(serverTime) / float64(latency.get())
	usualRatio := float64(serverTime) / float64(latency.usualOrTypical())
	if outcome == Answered || (outcome == Expired || outcome == Abandoned) && usualRatio > a.server.usualRatio {
		recordRatio(&a.server.usualRatio, usualRatio)
	}
	switch outcome {
	case Answered:
		latency.record(serverTime)
		latency.usual.observe(latency.get(), now)
		a.server.recordSlowness(ratio)
		a.server.recordError(false)
		a.server.recordSuccess()
		if now.After(a.due) && a.due.After(a.began) {
			a.recordLateReply(ratio, now)
			return
		}
		a.server.limit.raise(float64(took)/float64(max(a.due.Sub(a.began), 1)), a.target.Capacity, now)
	case Refused:
		a.server.recordError(true)
	case Misdirected:
		a.server.misdirectedAt = now
	case Failed:
		a.server.recordError(true)
		a.server.recordFailure(now)
	case Expired:
		a.lowerLimit(ratio, now)
		a.server.recordMinSlowness(ratio)
	case Abandoned:
		a.server.recordMinSlowness(ratio)
	}
}

// recordLateReply records a reply that came after its due time. A server that is late
// even with at most one attempt at a time is slow by itself: lowering its limit further
// would only leave it idle.
func (a *Attempt) recordLateReply(ratio float64, now time.Time) {
	if a.server.limit.slow() {
		a.server.limit.confirm(now)
		return
	}
	a.lowerLimit(ratio, now)
}

// lowerLimit lowers the server's concurrency limit after an attempt that missed its due
// time. An attempt that took less than stallFactor times the typical latency of its route
// had too little time to tell anything about the server.
func (a *Attempt) lowerLimit(ratio float64, now time.Time) {
	if ratio >= stallFactor {
		a.server.limit.lower(a.began, now, a.target.Capacity)
	}
}
