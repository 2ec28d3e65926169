package forward

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const (
	// returnShare of the target is kept for the way back to the caller and the
	// opening of its connection, at least returnLeast: the target counts from the
	// caller's first packet. Callers of the grown sites see their answers 10 ms later
	// than the time that the instance logs, in the median; the rest is for its own work.
	returnShare = 0.1
	returnLeast = 12 * time.Millisecond
	// callerMargin before the caller's own deadline lets the answer arrive.
	callerMargin = 15 * time.Millisecond
	// hedgeFactor times the usual reply time of a route is the silence after which
	// a second server is asked. It lies above all but a few undisturbed replies.
	hedgeFactor = 2.2
	// hedgeShare of the target is the latest moment of a hedge, so that its reply
	// is in time.
	hedgeShare = 0.3
	// shortestHedge keeps very short usual times from causing hedges.
	shortestHedge = 12 * time.Millisecond
	// defaultTarget stands in for a route without a target.
	defaultTarget = 500 * time.Millisecond
	// noDeadline stands in for a request and a route that both state no time.
	noDeadline = 30 * time.Second
)

// timing is when the events of one request are due.
type timing struct {
	cutoff   time.Time // from then on an answer with enough shards goes out
	deadline time.Time // end of the request
	hedge    time.Duration
	spare    time.Duration // after the cutoff, in which a part can still reach the sender
}

// usefulUntil is when a reply to an attempt that starts now comes too late. A part of
// a sharded answer is of use until the answer goes out without it; a server that
// works on parts nobody waits for any more is late with all others too. Attempts
// after that moment have the whole time.
func (t *timing) usefulUntil(route *routing.Route, now time.Time) time.Time {
	if wanted := t.cutoff.Add(t.spare); route.Sharded() && now.Before(t.cutoff) && wanted.Before(t.deadline) {
		return wanted
	}
	return t.deadline
}

func newTiming(route *routing.Route, request *Request, usual time.Duration) timing {
	target := route.Target
	if target <= 0 {
		target = defaultTarget
	}
	margin := max(time.Duration(returnShare*float64(target)), returnLeast)
	t := timing{
		cutoff:   request.Arrived.Add(max(target-margin, target/2)),
		deadline: request.Arrived.Add(noDeadline),
	}
	if route.Timeout > 0 {
		t.deadline = request.Arrived.Add(route.Timeout)
	}
	if !request.Deadline.IsZero() {
		if own := request.Deadline.Add(-callerMargin); own.Before(t.deadline) {
			t.deadline = own
		}
	}
	hedge := time.Duration(hedgeFactor * float64(usual))
	t.hedge = min(max(hedge, shortestHedge), time.Duration(hedgeShare*float64(target)))
	return t
}
