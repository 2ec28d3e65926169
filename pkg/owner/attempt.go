package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/admission"
	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/errtext"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// attemptRun is one attempt on one backend server.
type attemptRun struct {
	owner    *Owner
	request  *peerpb.SearchRequest
	attempt  *peerpb.ShardAttempt
	arrival  time.Time // at the entry instance, in this instance's clock
	deadline time.Time
	queued   time.Duration
	service  time.Duration
}

// run queues the attempt, calls the backend server and returns the reply.
func (a *attemptRun) run(ctx context.Context) shardReply {
	limits := Limits{Slots: int(a.request.Slots), Connections: int(a.request.Connections)}
	r, ok := a.owner.replicas.get(a.attempt.BackendServerId, limits)
	if !ok {
		return a.refused(peerpb.ResultStatus_UNREACHABLE, "backend server is not in the view")
	}
	grant, err := a.acquire(ctx, r)
	if err != nil {
		return a.shed(err)
	}
	started := a.owner.config.Now()
	reply := a.call(ctx, r)
	a.service = a.owner.config.Now().Sub(started)
	reply.result.ServiceUs = a.service.Microseconds()
	grant.Release(a.measured(reply), reply.result.Status != peerpb.ResultStatus_SHED)
	return reply
}

// measured returns the service time for the queue's estimate; only complete
// replies measure it.
func (a *attemptRun) measured(reply shardReply) time.Duration {
	if reply.result.Status != peerpb.ResultStatus_OK {
		return 0
	}
	return a.service
}

func (a *attemptRun) acquire(ctx context.Context, r *replica) (*admission.Grant, error) {
	started := a.owner.config.Now()
	grant, err := r.queue.Acquire(ctx, admission.Request{
		Priority: int(a.request.Priority),
		Arrival:  a.arrival,
		Deadline: a.deadline,
	})
	a.queued = a.owner.config.Now().Sub(started)
	return grant, err
}

// call checks, right before sending, everything that may have changed while
// the attempt was queued or the process was paused.
func (a *attemptRun) call(ctx context.Context, r *replica) shardReply {
	config := a.owner.config
	config.Control.EnsureFresh(ctx)
	if err := ctx.Err(); err != nil {
		return a.shed(err)
	}
	now := config.Now()
	if !now.Before(a.deadline) {
		return a.refused(peerpb.ResultStatus_DEADLINE, "deadline passed before sending")
	}
	if !config.View.AcceptsRequests(r.server.ID, now) {
		reply := a.refused(peerpb.ResultStatus_DRAINING, "backend server is leaving")
		reply.result.Draining = true
		return reply
	}
	if err := config.Guard.Admit(a.request.Fingerprint, int(a.request.CrashLimit), now); err != nil {
		return a.refused(peerpb.ResultStatus_QUARANTINED, err.Error())
	}
	config.Guard.Begin(a.request.Fingerprint, r.server, now)
	found, err := r.pool.Search(ctx, a.searchCall())
	config.Guard.End(a.request.Fingerprint, r.server.ID, crashOutcome(err), config.Now())
	if err != nil {
		a.reportLoss(r, err)
		return a.failed(ctx, r, err)
	}
	a.owner.observe(ctx, r.server.ID, found.Draining, found.Incarnation)
	if !a.matchesManifest(found) {
		return a.mismatched(ctx, found)
	}
	r.replied()
	return a.succeeded(found)
}

// reportLoss tells the guard whether the backend server is down for everyone or
// has replied, so that the loss of a zone explains the crashes in it.
func (a *attemptRun) reportLoss(r *replica, err error) {
	var call *backend.CallError
	if !errors.As(err, &call) {
		return
	}
	guard := a.owner.config.Guard
	switch {
	case call.Status == peerpb.ResultStatus_UNREACHABLE && call.Run == peerpb.RunState_RUN_STATE_NOT_RUN:
		guard.RecordLoss(r.server, a.owner.config.Now())
	case call.Incarnation != "":
		guard.RecordReply(r.server.ID)
	}
}

// matchesManifest reports whether the reply covers what the pinned snapshot's
// manifest states. It is checked before hits of several shards are merged and
// cut, because hits of a rejected shard must not displace those of others.
func (a *attemptRun) matchesManifest(found *backend.SearchReply) bool {
	return found.From == a.attempt.From && found.To == a.attempt.To && found.Documents == a.attempt.Documents
}

func (a *attemptRun) mismatched(ctx context.Context, found *backend.SearchReply) shardReply {
	result := a.result(peerpb.ResultStatus_INVALID_REPLY, peerpb.RunState_RUN_STATE_RUN)
	result.Snapshots = found.Snapshots
	result.Draining = found.Draining
	result.Detail = fmt.Sprintf("reply covers [%q, %q) with %d documents, the manifest states [%q, %q) with %d",
		found.From, found.To, found.Documents, a.attempt.From, a.attempt.To, a.attempt.Documents)
	a.owner.config.Logger.WarnContext(ctx, "reply rejected",
		"backend_server", a.attempt.BackendServerId, "snapshot", found.Snapshot, "error", result.Detail)
	return shardReply{result: result}
}

func (a *attemptRun) searchCall() backend.SearchCall {
	return backend.SearchCall{
		Request:  a.request.RequestId,
		Attempt:  a.attempt.Attempt,
		Shard:    a.attempt.Shard,
		Snapshot: a.request.Snapshot,
		Query:    a.request.Query,
		Limit:    a.request.Limit,
	}
}

func (a *attemptRun) succeeded(found *backend.SearchReply) shardReply {
	result := a.result(peerpb.ResultStatus_OK, peerpb.RunState_RUN_STATE_RUN)
	result.From, result.To, result.Documents = found.From, found.To, found.Documents
	result.Snapshot = found.Snapshot
	result.Snapshots = found.Snapshots
	result.Draining = found.Draining
	hits := make([]*peerpb.Hit, 0, len(found.Hits))
	for _, h := range found.Hits {
		hits = append(hits, &peerpb.Hit{Shard: a.attempt.Shard, Key: h.Key, Score: h.Score, Document: h.Document})
	}
	return shardReply{result: result, hits: hits}
}

func (a *attemptRun) failed(ctx context.Context, r *replica, err error) shardReply {
	a.owner.config.Logger.DebugContext(ctx, "search attempt failed", "backend_server", r.server.ID, "error", err)
	var call *backend.CallError
	if !errors.As(err, &call) {
		result := a.result(peerpb.ResultStatus_UNREACHABLE, peerpb.RunState_RUN_STATE_UNKNOWN)
		result.Detail = errtext.Describe(err)
		return shardReply{result: result}
	}
	a.owner.observe(ctx, r.server.ID, call.Draining, call.Incarnation)
	result := a.result(a.statusOf(r, call), call.Run)
	result.Snapshots = call.Snapshots
	result.Draining = call.Draining
	result.Detail = call.Detail
	return shardReply{result: result}
}

// statusOf returns the status of a failed call. A backend server that has not
// returned since this request crashed it counts as crashed, not as unreachable:
// otherwise a resent request would try it on the next backend server before the
// crash report has reached the entry instance.
func (a *attemptRun) statusOf(r *replica, call *backend.CallError) peerpb.ResultStatus {
	switch call.Status {
	case peerpb.ResultStatus_CRASHED:
		if a.owner.config.Guard.Admit(a.request.Fingerprint, 1, a.owner.config.Now()) != nil {
			r.crashedBy(a.request.Fingerprint)
		}
	case peerpb.ResultStatus_UNREACHABLE:
		if call.Run == peerpb.RunState_RUN_STATE_NOT_RUN && r.wasCrashedBy(a.request.Fingerprint) {
			return peerpb.ResultStatus_CRASHED
		}
	case peerpb.ResultStatus_SHED, peerpb.ResultStatus_DRAINING, peerpb.ResultStatus_COLD, peerpb.ResultStatus_SNAPSHOT_GONE:
		r.replied()
	}
	return call.Status
}

// shed reports an attempt that left the queue without a slot.
func (a *attemptRun) shed(err error) shardReply {
	status := peerpb.ResultStatus_SHED
	if errors.Is(err, context.DeadlineExceeded) {
		status = peerpb.ResultStatus_DEADLINE
	}
	return a.refused(status, err.Error())
}

func (a *attemptRun) refused(status peerpb.ResultStatus, detail string) shardReply {
	result := a.result(status, peerpb.RunState_RUN_STATE_NOT_RUN)
	result.Detail = detail
	return shardReply{result: result}
}

func (a *attemptRun) result(status peerpb.ResultStatus, run peerpb.RunState) *peerpb.ShardResult {
	return &peerpb.ShardResult{
		Shard:           a.attempt.Shard,
		Attempt:         a.attempt.Attempt,
		BackendServerId: a.attempt.BackendServerId,
		Status:          status,
		Run:             run,
		QueueUs:         a.queued.Microseconds(),
	}
}

// crashOutcome tells the guard how a call ended.
func crashOutcome(err error) crashguard.Outcome {
	var call *backend.CallError
	switch {
	case err == nil:
		return crashguard.OutcomeOK
	case errors.As(err, &call) && call.Status == peerpb.ResultStatus_CRASHED:
		return crashguard.OutcomeCrashed
	default:
		return crashguard.OutcomeInconclusive
	}
}
