package entry

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/coverage"
)

// handleLostOwner sends the attempts of a broken stream to the next owner of
// the same backend servers.
func (q *query) handleLostOwner(ctx context.Context, d *dispatch, cause error) error {
	if d.moot() || ctx.Err() != nil {
		return nil
	}
	now := q.now()
	q.entry.config.View.ReportCall(d.owner.ID, false, now)
	q.entry.config.Metrics.Count("owners.lost", 1)
	q.entry.config.Logger.DebugContext(ctx, "owner lost", "owner", d.owner.ID, "error", cause)
	return q.failOver(ctx, d, now)
}

// failOver moves the pending attempts of a dispatch to the next rank. Where
// another attempt of the shard is running, only a hedge is moved: the other one
// was already too slow. The error ends the query.
func (q *query) failOver(ctx context.Context, d *dispatch, now time.Time) error {
	d.cancel()
	groups := make(map[string]*dispatch)
	var refused error
	for _, a := range d.attempts {
		if a.finished {
			continue
		}
		q.forget(a)
		if a.shard.done || (a.shard.running > 0 && !a.hedge) {
			continue
		}
		if err := q.moveAttempt(ctx, groups, a, d, now); err != nil {
			refused = err
		}
	}
	for _, next := range groups {
		q.launch(ctx, next)
	}
	return refused
}

func (q *query) moveAttempt(ctx context.Context, groups map[string]*dispatch, a *attempt, from *dispatch, now time.Time) error {
	if !q.mayReceive(a.server) {
		return q.retry(ctx, a.shard, coverage.ReasonDraining)
	}
	to, rank, ok := q.ownerAfter(a.server.ID, from, now)
	if !ok {
		return q.retry(ctx, a.shard, coverage.ReasonOwnerLost)
	}
	next, ok := groups[to.ID]
	if !ok {
		next = &dispatch{owner: to, rank: rank, attempts: make(map[int32]*attempt), sent: now}
		groups[to.ID] = next
	}
	q.addAttempt(next, a.shard, a.server, now, a.hedge)
	return nil
}
