package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/selection"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// handle processes one event. The error ends the query.
func (q *query) handle(ctx context.Context, ev event) error {
	if ev.recheck != nil {
		return q.handleRecheck(ctx, ev.recheck)
	}
	if ev.frame != nil {
		return q.handleFrame(ctx, ev.dispatch, ev.frame)
	}
	if ev.dispatch.pending > 0 {
		return q.handleLostOwner(ctx, ev.dispatch, ev.err)
	}
	return nil
}

func (q *query) handleFrame(ctx context.Context, d *dispatch, frame *peerpb.SearchFrame) error {
	if frame.RequestId != q.request.RequestID {
		return nil
	}
	if !d.acked {
		d.acked = true
		q.entry.acks.accepted(d.owner.ID, q.now().Sub(d.sent), q.now())
		q.entry.config.View.ReportCall(d.owner.ID, true, q.now())
	}
	if frame.Sender != nil {
		q.entry.config.Control.ObserveSender(frame.Sender)
	}
	for _, result := range frame.Results {
		if err := q.handleResult(ctx, d, result, frame.Hits); err != nil {
			return err
		}
	}
	if d.moot() {
		d.cancel()
	}
	return nil
}

// moot reports that no pending attempt of the dispatch is of use any more.
func (d *dispatch) moot() bool {
	for _, a := range d.attempts {
		if !a.finished && !a.shard.done {
			return false
		}
	}
	return d.pending > 0
}

// handleResult matches a result to its attempt; results that match none are
// ignored.
func (q *query) handleResult(ctx context.Context, d *dispatch, result *peerpb.ShardResult, hits []*peerpb.Hit) error {
	a, ok := d.attempts[result.Attempt]
	if !ok || a.finished || int(result.Shard) != a.shard.partition.Shard || result.BackendServerId != a.server.ID {
		return nil
	}
	q.finish(a, result)
	q.learn(a, result)
	if result.Status == peerpb.ResultStatus_OK {
		return q.handleOK(ctx, a, result, hits)
	}
	return q.handleFailure(ctx, a, result)
}

// finish closes the books of an attempt.
func (q *query) finish(a *attempt, result *peerpb.ShardResult) {
	a.finished = true
	a.dispatch.pending--
	a.shard.running--
	q.record.inFlight--
	if result.Run != peerpb.RunState_RUN_STATE_NOT_RUN {
		q.record.maybe = true
	}
	now := q.now()
	q.entry.config.Selector.Done(selection.Observation{
		ServerID: a.server.ID,
		Service:  serviceKey(q.policy.Team, q.policy.Service),
		Latency:  now.Sub(a.started),
		Queue:    time.Duration(result.QueueUs) * time.Microsecond,
		Status:   result.Status,
	}, now)
}

// forget closes the books of an attempt whose result does not come any more.
func (q *query) forget(a *attempt) {
	a.finished = true
	a.dispatch.pending--
	a.shard.running--
	q.record.inFlight--
	q.record.maybe = true
	now := q.now()
	q.entry.config.Selector.Done(selection.Observation{
		ServerID: a.server.ID,
		Service:  serviceKey(q.policy.Team, q.policy.Service),
		Latency:  now.Sub(a.started),
		Status:   peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED,
	}, now)
}

// learn keeps what the backend server said about itself.
func (q *query) learn(a *attempt, result *peerpb.ShardResult) {
	now := q.now()
	config := q.entry.config
	config.Served.Learn(a.server.ID, result.Snapshots, now)
	if result.Draining {
		config.View.Drain(a.server.ID, "", now)
	}
	if result.Status == peerpb.ResultStatus_CRASHED {
		q.crashes++
		if result.Run != peerpb.RunState_RUN_STATE_NOT_RUN {
			q.blame(a, now)
		}
	}
}

// blame reports a crash to this instance's guard. A request that is known to
// succeed was probably running next to the one that caused the crash; the owner,
// which knows all that were running, judges it.
func (q *query) blame(a *attempt, now time.Time) {
	guard := q.entry.config.Guard
	if !guard.KnownGood(q.fingerprint, now) {
		guard.Learn(q.fingerprint, a.server.ID, a.server.Zone, now)
	}
}

func (q *query) handleOK(ctx context.Context, a *attempt, result *peerpb.ShardResult, hits []*peerpb.Hit) error {
	s := a.shard
	covered := snapshot.Partition{Shard: int(result.Shard), From: result.From, To: result.To, Documents: result.Documents}
	if result.Snapshot != q.snapshot.Version {
		return q.retry(ctx, s, coverage.ReasonOtherSnapshot)
	}
	if s.done {
		return nil
	}
	if err := q.account.Add(covered); err != nil {
		q.entry.config.Logger.WarnContext(ctx, "reply rejected", "backend_server", a.server.ID, "error", err)
		return q.retry(ctx, s, coverage.ReasonManifestMismatch)
	}
	for _, h := range hits {
		if h.Shard == result.Shard {
			s.hits = append(s.hits, h)
		}
	}
	q.settle(s)
	if q.held {
		q.entry.config.Guard.MarkGood(q.fingerprint, q.now())
		q.release(ctx)
	}
	return nil
}

func (q *query) handleFailure(ctx context.Context, a *attempt, result *peerpb.ShardResult) error {
	switch result.Status {
	case peerpb.ResultStatus_SNAPSHOT_GONE:
		return q.handleSnapshotGone(ctx, a.shard)
	case peerpb.ResultStatus_REJECTED:
		return rejected(q.record.statement(), result.Detail)
	case peerpb.ResultStatus_UNREACHABLE:
		if q.held && !a.shard.rechecked {
			q.recheck(ctx, a)
			return nil
		}
	case peerpb.ResultStatus_QUARANTINED:
		return refuseCrashing(q.policy, q.record.statement(), errors.New(result.Detail))
	case peerpb.ResultStatus_CRASHED:
		if limit := crashLimit(q.policy); limit > 0 && q.crashes >= limit && q.held {
			return refuseCrashing(q.policy, Unknown, errors.New("the request crashed backend servers that ran it"))
		}
	}
	return q.retry(ctx, a.shard, reasonOf(result.Status))
}

// handleSnapshotGone tries a replica that may still have the snapshot, then a
// restart on another snapshot, then accepts that the shard is missing.
func (q *query) handleSnapshotGone(ctx context.Context, s *shardState) error {
	if s.done || s.running > 0 {
		return nil
	}
	if _, ok := q.next(s); ok {
		q.send(ctx, []*shardState{s}, false)
		return nil
	}
	left := q.deadline.Sub(q.now())
	if q.mayRestart && left > time.Duration(restartMinTimeLeft*float64(q.policy.Deadline)) {
		return errSnapshotGone
	}
	q.fail(s, coverage.ReasonSnapshotGone)
	if q.held {
		return q.nextCanary(ctx)
	}
	return nil
}

// retry asks another replica if there is one and the budget allows it.
func (q *query) retry(ctx context.Context, s *shardState, reason coverage.Reason) error {
	if s.done || s.running > 0 {
		return nil
	}
	s.lastError = reason
	config := q.entry.config
	if q.held {
		return q.retryCanary(ctx, s)
	}
	_, ok := q.next(s)
	if !ok || config.Options.DisableRetries || !config.Selector.AllowRetry(serviceKey(q.policy.Team, q.policy.Service)) {
		q.fail(s, reason)
		return nil
	}
	config.Metrics.Count("attempts.retried", 1)
	q.send(ctx, []*shardState{s}, false)
	return nil
}

// settle ends a shard and cancels the streams that only its losing attempts
// were waited for.
func (q *query) settle(s *shardState) {
	s.done = true
	q.open--
	for _, a := range s.attempts {
		if !a.finished && a.dispatch.moot() {
			a.dispatch.cancel()
		}
	}
}

// fail gives a shard up.
func (q *query) fail(s *shardState, reason coverage.Reason) {
	if s.done {
		return
	}
	if s.lastError != "" {
		reason = s.lastError
	}
	q.settle(s)
	q.account.Fail(s.partition.Shard, reason)
}

// failOpen gives up every shard that is not running.
func (q *query) failOpen(reason coverage.Reason) {
	for _, s := range q.shards {
		if s.running == 0 {
			q.fail(s, reason)
		}
	}
}
