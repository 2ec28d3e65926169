package entry

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/coverage"
)

// handleLostOwner fails over after the stream of an owner broke before all
// results arrived.
func (q *query) handleLostOwner(ctx context.Context, d *dispatch, cause error) error {
	if d.isSuperseded() || ctx.Err() != nil {
		return nil
	}
	now := q.now()
	q.entry.config.View.RecordCall(d.owner.ID, false, now)
	q.entry.config.Metrics.Count("owners.lost", 1)
	q.entry.config.Logger.DebugContext(ctx, "owner lost", "owner", d.owner.ID, "error", cause)
	return q.failOver(ctx, d, now)
}

// failOver moves the unfinished attempts of a dispatch to the owners of the next
// rank. If the shard has another attempt in flight, only a hedge is moved: the
// other attempt was already slow when the hedge was sent. The error ends the
// query.
func (q *query) failOver(ctx context.Context, d *dispatch, now time.Time) error {
	d.cancel()
	byOwner := make(map[string]*dispatch)
	var terminal error
	for _, a := range d.attempts {
		if a.finished {
			continue
		}
		q.abandonAttempt(a)
		if a.shard.done || (a.shard.pending > 0 && !a.isHedge) {
			continue
		}
		if err := q.moveAttempt(ctx, byOwner, a, d, now); err != nil {
			terminal = err
		}
	}
	for _, next := range byOwner {
		q.openStream(ctx, next)
	}
	return terminal
}

// moveAttempt adds a replacement for attempt a to the dispatch of the backend
// server's next owner. It retries on another replica if the server is draining
// or no owner is left.
func (q *query) moveAttempt(ctx context.Context, byOwner map[string]*dispatch, a *attempt, from *dispatch, now time.Time) error {
	if !q.canReceive(a.server) {
		return q.retry(ctx, a.shard, coverage.ReasonDraining)
	}
	owner, rank, ok := q.nextOwner(a.server.ID, from, now)
	if !ok {
		return q.retry(ctx, a.shard, coverage.ReasonOwnerLost)
	}
	next, ok := byOwner[owner.ID]
	if !ok {
		next = &dispatch{owner: owner, rank: rank, attempts: make(map[int32]*attempt), sent: now}
		byOwner[owner.ID] = next
	}
	q.addAttempt(next, a.shard, a.server, now, a.isHedge)
	return nil
}
