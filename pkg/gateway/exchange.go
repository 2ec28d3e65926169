package gateway

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/shedding"
)

// exchange holds one request and its answer for the log and the metrics.
type exchange struct {
	ID            string
	Method        string
	Path          string
	Arrived       time.Time
	CallerTimeout time.Duration // how long the caller waits; 0 if it stated no time
	NetworkTime   time.Duration // of the caller's time that the network takes; 0 if it is unknown
	Table         *routing.Table
	Route         *routing.Route
	Answer        *forward.Answer
	Status        int
	Read          time.Duration // from the arrival until the body was read
	Took          time.Duration
	lease         *shedding.Lease // nil until the route is known
}

// release gives back the bytes that the request held.
func (e *exchange) release() {
	if e.lease != nil {
		e.lease.Release()
	}
}

// spreadRetry turns the pause of a refusal into a random one that the caller honours.
func (e *exchange) spreadRetry(refusal *forward.Refusal) {
	if refusal.RetryAfter <= 0 {
		return
	}
	pause := shedding.Pause{Capacity: refusal.RetryAfter}
	if e.CallerTimeout > 0 {
		pause.Remaining = max(e.CallerTimeout-time.Since(e.Arrived), time.Millisecond)
	}
	refusal.RetryAfter = shedding.RetryAfter(pause)
}

// outcome returns the class of an exchange for metrics and logs. A late answer
// counts as late even when shards are missing from it.
func (e *exchange) outcome() string {
	a := e.Answer
	late := e.Route != nil && e.Route.TargetLatency > 0 && e.Took > e.Route.TargetLatency
	switch {
	case a.Refusal != nil && a.Refusal.Reason == forward.CallerLeft:
		return "left"
	case a.Refusal != nil && a.Refusal.NotRun:
		return "refused"
	case a.Refusal != nil:
		return "failed"
	case a.Reply != nil && a.Reply.Status >= 400:
		return "server_failure"
	case late:
		return "late"
	case a.Merged != nil && a.Merged.Missing > 0:
		return "partial"
	default:
		return "complete"
	}
}
