package entry

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// checkInterval is the time between two checks for slow owners and shards,
// unless a hedge is due earlier.
const checkInterval = 20 * time.Millisecond

// nextCheckDelay returns the time until the next check.
func (q *query) nextCheckDelay() time.Duration {
	delay, ok := q.hedgeDelay()
	if !ok || delay > checkInterval {
		return checkInterval
	}
	return max(delay, time.Millisecond)
}

// hedgeDelay returns the age at which an attempt is hedged. It reports false if
// hedging is off or no delay can be estimated yet.
func (q *query) hedgeDelay() (time.Duration, bool) {
	if q.policy.HedgeQuantile <= 0 || q.entry.config.Options.DisableHedging {
		return 0, false
	}
	return q.entry.config.Selector.HedgeDelay(serviceKey(q.policy.Team, q.policy.Service), q.policy.HedgeQuantile)
}

// checkProgress fails over from owners that did not acknowledge a message,
// hedges or retries slow attempts, and releases the remaining shards when the
// canary takes longer than its maximum wait.
func (q *query) checkProgress(ctx context.Context) error {
	now := q.now()
	for _, d := range q.dispatches {
		if d.acked || d.pending == 0 || d.isSuperseded() {
			continue
		}
		if err := q.checkOwner(ctx, d, now); err != nil {
			return err
		}
	}
	if q.awaitingCanary && q.policy.CanaryMaxWait > 0 && now.Sub(q.arrived) > q.policy.CanaryMaxWait {
		if err := q.checkCrashGuard(); err != nil {
			return err
		}
		q.releaseShards(ctx)
	}
	return q.repeatSlowAttempts(ctx, now)
}

// checkOwner fails over from an owner that has not acknowledged the message in
// time. An owner that still acknowledges other messages is only slow, and the
// retry budget then bounds the fail-over: on a busy machine many owners are late
// at once, and repeating their work would add to the load.
func (q *query) checkOwner(ctx context.Context, d *dispatch, now time.Time) error {
	waited := now.Sub(d.sent)
	config := q.entry.config
	if waited <= q.entry.ackTimeouts.timeout(d.owner.ID, now) {
		return nil
	}
	d.acked = true // the timeout is reported only once
	q.entry.ackTimeouts.recordTimeout(d.owner.ID, waited)
	config.View.RecordCall(d.owner.ID, false, now)
	config.Metrics.Count("owners.unresponsive", 1)
	service := serviceKey(q.policy.Team, q.policy.Service)
	if q.entry.ackTimeouts.isSilent(d.owner.ID, now) || config.Selector.AllowRetry(service) {
		return q.failOver(ctx, d, now)
	}
	return nil
}

// repeatSlowAttempts hedges attempts that take longer than the hedge delay and
// retries those that take too large a share of the deadline. While the query
// waits for its canary, the second attempt goes to another shard.
func (q *query) repeatSlowAttempts(ctx context.Context, now time.Time) error {
	hedgeAfter, hedgingEnabled := q.hedgeDelay()
	retryAfter := time.Duration(retryDeadlineShare * float64(q.policy.Deadline))
	repeated := make([]*shardState, 0)
	for _, a := range q.slowAttempts(now, hedgeAfter, hedgingEnabled, retryAfter) {
		if q.allowRepeat(a, now.Sub(a.started) > retryAfter) {
			a.shard.hedged = true
			repeated = append(repeated, a.shard)
		}
	}
	if len(repeated) == 0 {
		return nil
	}
	q.entry.config.Metrics.Count("attempts.hedged", int64(len(repeated)))
	if q.awaitingCanary {
		return q.sendNextCanary(ctx)
	}
	q.sendAttempts(ctx, repeated, true)
	return nil
}

// slowAttempts returns the unfinished attempts that are due for a hedge or a
// retry.
func (q *query) slowAttempts(now time.Time, hedgeAfter time.Duration, hedgingEnabled bool, retryAfter time.Duration) []*attempt {
	var due []*attempt
	for _, d := range q.dispatches {
		for _, a := range d.attempts {
			if a.finished || a.shard.done || a.shard.hedged || a.shard.pending > 1 {
				continue
			}
			age := now.Sub(a.started)
			if (hedgingEnabled && age >= hedgeAfter) || age > retryAfter {
				due = append(due, a)
			}
		}
	}
	return due
}

// allowRepeat charges a second attempt for the shard of a to the hedge budget,
// or, if that refuses and a retry is due, to the retry budget. It reports whether
// one of them allows the attempt.
func (q *query) allowRepeat(a *attempt, retryDue bool) bool {
	config := q.entry.config
	if _, ok := q.nextReplica(a.shard); !ok {
		return false
	}
	if maxCrashes := crashLimit(q.policy); q.awaitingCanary && maxCrashes > 0 && q.crashes+q.runRecord.pending >= maxCrashes {
		return false // canaries in flight must not crash more backend servers than the limit
	}
	service := serviceKey(q.policy.Team, q.policy.Service)
	if !config.Options.DisableHedging && config.Selector.AllowHedge(service, q.policy.HedgeBudget) {
		return true
	}
	return retryDue && !config.Options.DisableRetries && config.Selector.AllowRetry(service)
}

// directRank is the rank of this instance when no owner answers: it then calls
// the backend server itself, on the single connection that an instance may open
// to a backend server that it does not own.
const directRank = 1 << 10

// nextOwner returns the owner of a backend server that ranks after the owner
// asked by the dispatch, and its rank. After the last owner it returns this
// instance.
func (q *query) nextOwner(serverID string, from *dispatch, now time.Time) (membership.Instance, int, bool) {
	for rank := from.rank + 1; rank < directRank; rank++ {
		owner, ok := q.ownerAtRank(serverID, rank, now)
		if !ok {
			break
		}
		if owner.ID != from.owner.ID {
			return owner, rank, true
		}
	}
	self := q.entry.config.Self
	return self, directRank, from.rank < directRank && from.owner.ID != self.ID
}
