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
		if !d.acked && d.pending > 0 && now.Sub(d.sent) > ackTimeout && !d.moot() {
			q.entry.config.View.ReportCall(d.owner.ID, false, now)
			q.entry.config.Metrics.Count("owners.unresponsive", 1)
			d.acked = true // reported; do not report again
			if err := q.failOver(ctx, d, now); err != nil {
				return err
			}
		}
	}
	if q.held && q.policy.CanaryMaxWait > 0 && now.Sub(q.arrived) > q.policy.CanaryMaxWait {
		if err := q.admit(); err != nil {
			return err
		}
		q.release(ctx)
	}
	q.hedgeSlow(ctx, now)
	return nil
}

// hedgeSlow sends a second attempt for shards that take longer than the hedge
// delay, and a retry for those that take too large a share of the deadline.
func (q *query) hedgeSlow(ctx context.Context, now time.Time) {
	delay, hedging := q.hedgeDelay()
	limit := time.Duration(attemptShare * float64(q.policy.Deadline))
	slow := make([]*shardState, 0)
	for _, a := range q.slowest(now, delay, hedging, limit) {
		if q.mayRepeat(a, now.Sub(a.started) > limit) {
			a.shard.hedged = true
			slow = append(slow, a.shard)
		}
	}
	if len(slow) > 0 {
		q.entry.config.Metrics.Count("attempts.hedged", int64(len(slow)))
		q.send(ctx, slow, true)
	}
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
	if q.held && q.crashes+a.shard.running >= q.policy.CrashLimit {
		return false // a canary must not crash more backend servers than the limit
	}
	service := serviceKey(q.policy.Team, q.policy.Service)
	if !config.Options.DisableHedging && config.Selector.AllowHedge(service, q.policy.HedgeBudget) {
		return true
	}
	return overLimit && !config.Options.DisableRetries && config.Selector.AllowRetry(service)
}

// ownerAfter returns the next owner of a backend server that this query has
// not asked in the given dispatch.
func (q *query) ownerAfter(serverID string, from *dispatch, now time.Time) (membership.Instance, int, bool) {
	for rank := from.rank + 1; ; rank++ {
		to, ok := q.ownerOf(serverID, rank, now)
		if !ok {
			return q.firstOther(serverID, from, now)
		}
		if to.ID != from.owner.ID {
			return to, rank, true
		}
	}
}

// firstOther covers a view that has changed since the dispatch: suspicion may
// have moved the failed owner behind others.
func (q *query) firstOther(serverID string, from *dispatch, now time.Time) (membership.Instance, int, bool) {
	to, ok := q.ownerOf(serverID, 0, now)
	if !ok || to.ID == from.owner.ID || from.rank > 0 {
		return membership.Instance{}, 0, false
	}
	return to, 0, true
}
