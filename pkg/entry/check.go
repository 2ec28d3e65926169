package entry

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// checkInterval is the time between two checks for slow owners and shards when
// no hedge is due earlier.
const checkInterval = 20 * time.Millisecond

// nextCheck returns the time until the next check.
func (q *query) nextCheck() time.Duration {
	delay, ok := q.hedgeDelay()
	if !ok || delay > checkInterval {
		return checkInterval
	}
	return max(delay, time.Millisecond)
}

func (q *query) hedgeDelay() (time.Duration, bool) {
	if q.policy.HedgeQuantile <= 0 || q.entry.config.Options.DisableHedging {
		return 0, false
	}
	return q.entry.config.Selector.HedgeDelay(serviceKey(q.policy.Team, q.policy.Service), q.policy.HedgeQuantile)
}

// check fails over from owners that did not accept a request, retries attempts
// that take too long, starts hedges and releases shards held for the canary.
func (q *query) check(ctx context.Context) error {
	now := q.now()
	for _, d := range q.sent {
		if d.acked || d.pending == 0 || d.moot() {
			continue
		}
		if err := q.checkOwner(ctx, d, now); err != nil {
			return err
		}
	}
	if q.held && q.policy.CanaryMaxWait > 0 && now.Sub(q.arrived) > q.policy.CanaryMaxWait {
		if err := q.admit(); err != nil {
			return err
		}
		q.release(ctx)
	}
	return q.hedgeSlow(ctx, now)
}

// checkOwner fails over from an owner that has not accepted the request. While
// the owner accepts other requests it is only slow, and the retry budget bounds
// the fail-over: on a busy machine many owners are late at once and the
// repeated work would add to the load.
func (q *query) checkOwner(ctx context.Context, d *dispatch, now time.Time) error {
	waited := now.Sub(d.sent)
	config := q.entry.config
	if waited <= q.entry.acks.limit(d.owner.ID, now) {
		return nil
	}
	d.acked = true // reported; do not report again
	q.entry.acks.waited(d.owner.ID, waited)
	config.View.ReportCall(d.owner.ID, false, now)
	config.Metrics.Count("owners.unresponsive", 1)
	service := serviceKey(q.policy.Team, q.policy.Service)
	if q.entry.acks.isGone(d.owner.ID, now) || config.Selector.AllowRetry(service) {
		return q.failOver(ctx, d, now)
	}
	return nil
}

// hedgeSlow sends a second attempt, of a canary to another shard, for shards that take longer than the hedge
// delay, and a retry for those that take too large a share of the deadline.
func (q *query) hedgeSlow(ctx context.Context, now time.Time) error {
	delay, hedging := q.hedgeDelay()
	limit := time.Duration(attemptShare * float64(q.policy.Deadline))
	slow := make([]*shardState, 0)
	for _, a := range q.slowest(now, delay, hedging, limit) {
		if q.mayRepeat(a, now.Sub(a.started) > limit) {
			a.shard.hedged = true
			slow = append(slow, a.shard)
		}
	}
	if len(slow) == 0 {
		return nil
	}
	q.entry.config.Metrics.Count("attempts.hedged", int64(len(slow)))
	if q.held {
		return q.nextCanary(ctx)
	}
	q.send(ctx, slow, true)
	return nil
}

// slowest returns the unfinished attempts that are due for a second attempt.
func (q *query) slowest(now time.Time, delay time.Duration, hedging bool, limit time.Duration) []*attempt {
	var due []*attempt
	for _, d := range q.sent {
		for _, a := range d.attempts {
			if a.finished || a.shard.done || a.shard.hedged || a.shard.running > 1 {
				continue
			}
			age := now.Sub(a.started)
			if (hedging && age >= delay) || age > limit {
				due = append(due, a)
			}
		}
	}
	return due
}

func (q *query) mayRepeat(a *attempt, overLimit bool) bool {
	config := q.entry.config
	if _, ok := q.next(a.shard); !ok {
		return false
	}
	if limit := crashLimit(q.policy); q.held && limit > 0 && q.crashes+q.record.inFlight >= limit {
		return false // a canary must not crash more backend servers than the limit
	}
	service := serviceKey(q.policy.Team, q.policy.Service)
	if !config.Options.DisableHedging && config.Selector.AllowHedge(service, q.policy.HedgeBudget) {
		return true
	}
	return overLimit && !config.Options.DisableRetries && config.Selector.AllowRetry(service)
}

// directRank is the rank of this instance as the last resort: it calls the
// backend server itself, on the single connection that instances without
// ownership may open.
const directRank = 1 << 10

// ownerAfter returns the next owner of a backend server after the one that the
// dispatch asked, and this instance after the last owner.
func (q *query) ownerAfter(serverID string, from *dispatch, now time.Time) (membership.Instance, int, bool) {
	for rank := from.rank + 1; rank < directRank; rank++ {
		to, ok := q.ownerOf(serverID, rank, now)
		if !ok {
			break
		}
		if to.ID != from.owner.ID {
			return to, rank, true
		}
	}
	self := q.entry.config.Self
	return self, directRank, from.rank < directRank && from.owner.ID != self.ID
}
