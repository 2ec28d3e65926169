package forward

import (
	"fmt"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/shedding"
)

// ShortServices returns the number of services that are short and that are severely short.
func (e *Engine) ShortServices() (short, severe int) {
	return e.shedding.Shortage.Counts(time.Now())
}

// othersGoFirst reports whether a first attempt at a limited server has to wait because of more
// urgent requests, or of others at the same service that go first.
func (r *activeRequest) othersGoFirst(s *shardRequest, choice replicas.Choice, now time.Time) bool {
	if choice.Limit == 0 {
		return false
	}
	queue := r.engine.shedding.Queue
	if s.queued != nil {
		if !queue.IsFirst(s.queued) {
			return true
		}
		if queue.IsDue(s.queued) {
			return false
		}
	} else if queue.Ahead(s.service, r.route.Priority, r.returned) > 0 {
		return true
	}
	return choice.LimitedAndBusy && r.engine.shedding.Classes.HasHigher(r.route.Priority, now)
}

// updateQueue keeps a waiting attempt in the queue of its service for as long as its reply can
// be in time. Later attempts take what capacity the others leave.
func (r *activeRequest) updateQueue(s *shardRequest, choice replicas.Choice, now time.Time) {
	inTime := now.Before(r.timing.cutoff) && !r.wouldBeLate(choice, now)
	switch {
	case !inTime:
		r.leaveQueue(s, false)
	case s.queued == nil:
		s.queued = r.engine.shedding.Queue.Join(s.service, r.route.Priority, r.returned, r.wake)
	}
}

func (r *activeRequest) leaveQueue(s *shardRequest, starts bool) {
	if s.queued != nil {
		r.engine.shedding.Queue.Leave(s.queued, starts)
		s.queued = nil
	}
}

// recordTurn records that an attempt starts, for the order of those that wait.
func (r *activeRequest) recordTurn(s *shardRequest, choice replicas.Choice, why purpose) {
	switch {
	case s.queued != nil:
		r.leaveQueue(s, true)
	case why == first && choice.Limit != 0 && r.route.Sharded():
		r.engine.shedding.Queue.Started(s.service, r.route.Priority)
	}
}

// isLeftOut reports whether an attempt is left out because capacity is short: a hedge, or a part
// that the answer may lack. An instance that gathers for another one leaves out only hedges,
// since it does not know how many parts the answer lacks.
func (r *activeRequest) isLeftOut(s *shardRequest, why purpose, now time.Time) bool {
	policy := r.engine.shedding
	switch {
	case !r.route.Sharded():
		return false
	case why == hedge:
		if policy.MayHedge(s.service, r.route.Priority, now) {
			return false
		}
	case s.arrivals > 0 || s.waiting || r.servesPeer ||
		!policy.LeaveOut(s.service, r.route.Priority, len(r.shardRequests)-r.route.RequiredShards(), r.lostShards, now):
		return false
	default:
		s.leftOut = true
	}
	r.trace.LeftOut++
	return true
}

// recordShortage records which parts lack capacity at the cutoff: their attempts still wait for it.
// A part that is late at a server without a limit shows a slow or paused server. A hedge covers
// it, so that hedges must not be left out then.
func (r *activeRequest) recordShortage(now time.Time) {
	r.recordAdmitted(now)
	for _, s := range r.shardRequests {
		if s.reply != nil || s.waiting {
			r.engine.shedding.Shortage.RecordPart(s.service, s.reply == nil, now)
		}
	}
}

// demand returns what an attempt needs from a server at its limit, and false if the server has
// capacity or if nothing is known of it. A server that is slow by itself gives late answers.
func (r *activeRequest) demand(s *shardRequest, choice replicas.Choice, now time.Time) (shedding.Demand, bool) {
	if !choice.AtLimit || choice.Slow || r.isRelayed(s, choice.Server, first) {
		return shedding.Demand{}, false
	}
	return shedding.Demand{
		FreeIn:   choice.FreeIn,
		Latency:  choice.ExpectedLatency,
		Slots:    choice.Limit,
		Ahead:    r.engine.shedding.Queue.Ahead(s.service, r.route.Priority, r.returned),
		AnswerIn: r.timing.cutoff.Sub(now),
	}, true
}

// refuseWithoutCapacity refuses a request that cannot be answered in time because too many
// required shards have no capacity. Waits holds the wait for each of these shards, mayLack how
// many of them the answer may lack.
func (r *activeRequest) refuseWithoutCapacity(waits []time.Duration, mayLack int) *Answer {
	slices.Sort(waits)
	detail := fmt.Sprintf("%d of %d shards have no capacity in time, %d required", len(waits), len(r.shardRequests), r.route.RequiredShards())
	return r.refuseUntil(NoCapacity, waits[len(waits)-1-min(max(mayLack, 0), len(waits)-1)], detail)
}

// work returns the time that the request needs at servers, all parts together, in seconds.
func (r *activeRequest) work() float64 {
	return float64(len(r.shardRequests)) * r.engine.latencyEstimate(r.route).Seconds()
}

// refuseIfNotAdmitted refuses a sharded request while earlier ones are late because servers lack
// capacity, and this one is beyond the work that is done in time.
func (r *activeRequest) refuseIfNotAdmitted(now time.Time) *Answer {
	if !r.engine.refuseInOverload || !r.route.Sharded() {
		return nil
	}
	above, _ := r.engine.shedding.Classes.Rank(r.route.Priority, now)
	if r.engine.shedding.Admission.Admit(r.work(), r.route.Priority, above, r.returned, now) {
		return nil
	}
	return r.refuseUntil(NoCapacity, refusedRetryAfter, "earlier requests are late, servers lack capacity")
}

// overloadShare is the share of the shards that are late at once in an overload. Fewer late
// shards are slow by themselves: refusing requests would not make them faster, and attempts at
// them wait for their turn.
const overloadShare = 0.4

// recordAdmitted records whether the request has enough parts when its answer is due. A late one
// counts only if so many parts are late that the servers are overloaded.
func (r *activeRequest) recordAdmitted(now time.Time) {
	if !r.engine.refuseInOverload || r.servesPeer {
		return
	}
	inTime := r.answeredShards >= r.route.RequiredShards()
	if inTime || float64(r.answeredShards) <= (1-overloadShare)*float64(len(r.shardRequests)) {
		r.engine.shedding.Admission.Done(r.work(), inTime, now)
	}
}

// refuseUntil refuses a request that may find capacity after the given time.
func (r *activeRequest) refuseUntil(reason Reason, capacityIn time.Duration, detail string) *Answer {
	answer := r.refuse(reason, detail)
	if answer.Refusal.NotRun {
		answer.Refusal.RetryAfter = r.retryAfter(min(max(capacityIn, refusedRetryAfter), noServerRetryAfter))
	}
	return answer
}

// retryAfter returns the pause for the caller if capacity is expected after the given time.
func (r *activeRequest) retryAfter(capacityIn time.Duration) time.Duration {
	now := time.Now()
	deadline := r.request.Deadline
	if deadline.IsZero() {
		deadline = r.timing.deadline
	}
	pause := shedding.Pause{Capacity: capacityIn, Remaining: max(deadline.Sub(now), 0)}
	if r.route.Sharded() {
		pause.Above, pause.Below = r.engine.shedding.Classes.Rank(r.route.Priority, now)
	}
	return shedding.RetryAfter(pause)
}
