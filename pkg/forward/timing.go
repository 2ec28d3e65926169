package forward

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const (
	// callerMargin is how long before the caller's deadline the request ends, so that the
	// answer arrives in time.
	callerMargin = 15 * time.Millisecond
	// hedgeFactor times a route's latency estimate is the time without a reply after which
	// a second server is asked. All but a few replies of servers that work normally come
	// earlier.
	hedgeFactor = 2.2
	// maxHedgeShare is the share of the target that a hedge is delayed at most, so that its
	// reply is in time.
	maxHedgeShare = 0.3
	// minHedgeDelay prevents needless hedges on routes with very short reply times.
	minHedgeDelay = 12 * time.Millisecond
	// defaultTarget is the target of a route that states none.
	defaultTarget = 500 * time.Millisecond
	// defaultTimeout applies when neither the request nor the route limits the time.
	defaultTimeout = 30 * time.Second
)

// timing holds the times at which a request has to act.
type timing struct {
	cutoff     time.Time // when the answer is due: from then on it goes out with enough shards
	deadline   time.Time // end of the request
	hedgeDelay time.Duration
	grace      time.Duration // time after the cutoff in which a relay's part still reaches the sender in time
}

// usefulUntil returns the time after which a reply to an attempt that starts now is of no
// use. A part of a sharded answer is of use until the answer goes out without it: a server
// that went on working on such parts would be late with all other parts too. Attempts that
// start after the cutoff have until the deadline.
func (t *timing) usefulUntil(route *routing.Route, now time.Time) time.Time {
	if replyDue := t.cutoff.Add(t.grace); route.Sharded() && now.Before(t.cutoff) && replyDue.Before(t.deadline) {
		return replyDue
	}
	return t.deadline
}

func newTiming(route *routing.Route, request *Request, latency, ownWork time.Duration) timing {
	target := route.TargetLatency
	if target <= 0 {
		target = defaultTarget
	}
	margin := returnMargin(request, target, ownWork)
	t := timing{
		cutoff:   request.Arrived.Add(max(target-margin, target/2)),
		deadline: request.Arrived.Add(defaultTimeout),
	}
	if route.Timeout > 0 {
		t.deadline = request.Arrived.Add(route.Timeout)
	}
	if !request.Deadline.IsZero() {
		if callerDeadline := request.Deadline.Add(-callerMargin); callerDeadline.Before(t.deadline) {
			t.deadline = callerDeadline
		}
	}
	hedge := time.Duration(hedgeFactor * float64(latency))
	t.hedgeDelay = min(max(hedge, minHedgeDelay), time.Duration(maxHedgeShare*float64(target)))
	return t
}
