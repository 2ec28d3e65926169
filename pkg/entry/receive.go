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

// handleEvent processes one event. The error ends the query.
func (q *query) handleEvent(ctx context.Context, ev event) error {
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
		q.entry.ackTimeouts.recordAck(d.owner.ID, q.now().Sub(d.sent), q.now())
		q.entry.config.View.RecordCall(d.owner.ID, true, q.now())
	}
	if frame.Sender != nil {
		q.entry.config.Control.ObserveSender(frame.Sender)
	}
	for _, result := range frame.Results {
		if err := q.handleResult(ctx, d, result, frame.Hits); err != nil {
			return err
		}
	}
	if d.isSuperseded() {
		d.cancel()
	}
	return nil
}

// isSuperseded reports whether the dispatch has attempts in flight, but only for
// shards that have completed without them.
func (d *dispatch) isSuperseded() bool {
	for _, a := range d.attempts {
		if !a.finished && !a.shard.done {
			return false
		}
	}
	return d.pending > 0
}

// handleResult applies a result to its attempt. A result that matches no
// unfinished attempt is ignored.
func (q *query) handleResult(ctx context.Context, d *dispatch, result *peerpb.ShardResult, hits []*peerpb.Hit) error {
	a, ok := d.attempts[result.Attempt]
	if !ok || a.finished || int(result.Shard) != a.shard.partition.Shard || result.BackendServerId != a.server.ID {
		return nil
	}
	q.finishAttempt(a, result)
	q.recordServerState(a, result)
	if result.Status == peerpb.ResultStatus_OK {
		return q.handleOK(ctx, a, result, hits)
	}
	return q.handleFailure(ctx, a, result)
}

// finishAttempt accounts for an attempt that has a result.
func (q *query) finishAttempt(a *attempt, result *peerpb.ShardResult) {
	a.finished = true
	a.dispatch.pending--
	a.shard.pending--
	q.runRecord.pending--
	if result.Run != peerpb.RunState_RUN_STATE_NOT_RUN {
		q.runRecord.mayHaveRun = true
	}
	now := q.now()
	q.entry.config.Selector.Done(selection.Observation{
		ServerID:  a.server.ID,
		Service:   serviceKey(q.policy.Team, q.policy.Service),
		Latency:   now.Sub(a.started),
		QueueTime: time.Duration(result.QueueUs) * time.Microsecond,
		Status:    result.Status,
	}, now)
}

// abandonAttempt accounts for an attempt whose result is lost or no longer
// needed. The backend server may have run it.
func (q *query) abandonAttempt(a *attempt) {
	a.finished = true
	a.dispatch.pending--
	a.shard.pending--
	q.runRecord.pending--
	q.runRecord.mayHaveRun = true
	now := q.now()
	q.entry.config.Selector.Done(selection.Observation{
		ServerID: a.server.ID,
		Service:  serviceKey(q.policy.Team, q.policy.Service),
		Latency:  now.Sub(a.started),
		Status:   peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED,
	}, now)
}

// recordServerState records which snapshots the backend server serves and
// whether it is draining or has crashed.
func (q *query) recordServerState(a *attempt, result *peerpb.ShardResult) {
	now := q.now()
	config := q.entry.config
	config.KnownSnapshots.Record(a.server.ID, result.Snapshots, now)
	if result.Draining {
		config.View.RecordServerDrain(a.server.ID, "", now)
	}
	if result.Status == peerpb.ResultStatus_CRASHED {
		q.crashes++
		if result.Run != peerpb.RunState_RUN_STATE_NOT_RUN {
			q.reportCrash(a, now)
		}
	}
}

// reportCrash reports a crash to this instance's guard, unless the request is
// known to succeed. Such a request was probably only in flight next to the one
// that caused the crash, and the owner, which knows all requests in flight on
// the server, decides which of them may have caused the crash.
func (q *query) reportCrash(a *attempt, now time.Time) {
	guard := q.entry.config.Guard
	if !guard.KnownToSucceed(q.fingerprint, now) {
		guard.MergeReport(q.fingerprint, a.server.ID, a.server.Zone, now)
	}
}

func (q *query) handleOK(ctx context.Context, a *attempt, result *peerpb.ShardResult, hits []*peerpb.Hit) error {
	s := a.shard
	partition := snapshot.Partition{Shard: int(result.Shard), From: result.From, To: result.To, Documents: result.Documents}
	if result.Snapshot != q.snapshot.Version {
		return q.retry(ctx, s, coverage.ReasonOtherSnapshot)
	}
	if s.done {
		return nil
	}
	if err := q.account.AddReply(partition); err != nil {
		q.entry.config.Logger.WarnContext(ctx, "reply rejected", "backend_server", a.server.ID, "error", err)
		return q.retry(ctx, s, coverage.ReasonManifestMismatch)
	}
	for _, h := range hits {
		if h.Shard == result.Shard {
			s.hits = append(s.hits, h)
		}
	}
	q.completeShard(s)
	if q.awaitingCanary {
		q.entry.config.Guard.RecordSuccess(q.fingerprint, q.now())
		q.releaseShards(ctx)
	}
	return nil
}

func (q *query) handleFailure(ctx context.Context, a *attempt, result *peerpb.ShardResult) error {
	switch result.Status {
	case peerpb.ResultStatus_SNAPSHOT_GONE:
		return q.handleSnapshotGone(ctx, a.shard)
	case peerpb.ResultStatus_REJECTED:
		return rejectedRefusal(q.runRecord.statement(), result.Detail)
	case peerpb.ResultStatus_UNREACHABLE:
		if q.awaitingCanary && !a.shard.rechecked {
			q.scheduleRecheck(ctx, a)
			return nil
		}
	case peerpb.ResultStatus_QUARANTINED:
		return crashingRefusal(q.policy, q.runRecord.statement(), errors.New(result.Detail))
	case peerpb.ResultStatus_CRASHED:
		if limit := crashLimit(q.policy); limit > 0 && q.crashes >= limit && q.awaitingCanary {
			return crashingRefusal(q.policy, RunUnknown, errors.New("the request crashed backend servers that ran it"))
		}
	}
	return q.retry(ctx, a.shard, missingReason(result.Status))
}

// handleSnapshotGone tries a replica that may still serve the snapshot. Without
// one it restarts the query on another snapshot, or lets the shard fail if no
// restart is left or too little time.
func (q *query) handleSnapshotGone(ctx context.Context, s *shardState) error {
	if s.done || s.pending > 0 {
		return nil
	}
	if _, ok := q.nextReplica(s); ok {
		q.sendAttempts(ctx, []*shardState{s}, false)
		return nil
	}
	remaining := q.deadline.Sub(q.now())
	if q.mayRestart && remaining > time.Duration(minRestartTimeShare*float64(q.policy.Deadline)) {
		return errSnapshotGone
	}
	q.failShard(s, coverage.ReasonSnapshotGone)
	if q.awaitingCanary {
		return q.sendNextCanary(ctx)
	}
	return nil
}

// retry sends the shard to another replica if there is one and the retry budget
// allows it. Otherwise the shard fails.
func (q *query) retry(ctx context.Context, s *shardState, reason coverage.Reason) error {
	if s.done || s.pending > 0 {
		return nil
	}
	s.lastFailure = reason
	config := q.entry.config
	if q.awaitingCanary {
		return q.retryCanary(ctx, s)
	}
	_, ok := q.nextReplica(s)
	if !ok || config.Options.DisableRetries || !config.Selector.AllowRetry(serviceKey(q.policy.Team, q.policy.Service)) {
		q.failShard(s, reason)
		return nil
	}
	config.Metrics.Count("attempts.retried", 1)
	q.sendAttempts(ctx, []*shardState{s}, false)
	return nil
}

// completeShard marks a shard as done and cancels the dispatches that this makes
// superseded.
func (q *query) completeShard(s *shardState) {
	s.done = true
	q.openShards--
	for _, a := range s.attempts {
		if !a.finished && a.dispatch.isSuperseded() {
			a.dispatch.cancel()
		}
	}
}

// failShard completes a shard without an answer. A failure that was recorded
// earlier for the shard takes precedence over reason.
func (q *query) failShard(s *shardState, reason coverage.Reason) {
	if s.done {
		return
	}
	if s.lastFailure != "" {
		reason = s.lastFailure
	}
	q.completeShard(s)
	q.account.Fail(s.partition.Shard, reason)
}

// failIdleShards fails every shard that has no attempt in flight.
func (q *query) failIdleShards(reason coverage.Reason) {
	for _, s := range q.shards {
		if s.pending == 0 {
			q.failShard(s, reason)
		}
	}
}
