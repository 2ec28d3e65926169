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

// attemptRun runs one attempt of a search request on one backend server.
type attemptRun struct {
	owner       *Owner
	request     *peerpb.SearchRequest
	attempt     *peerpb.ShardAttempt
	arrival     time.Time // of the request at the entry instance, by this instance's clock
	deadline    time.Time
	queueTime   time.Duration // time spent in the queue
	serviceTime time.Duration // duration of the call to the backend server
}

// run waits for a slot of the backend server, calls the server and returns the
// reply.
func (a *attemptRun) run(ctx context.Context) shardReply {
	limits := Limits{Slots: int(a.request.Slots), Connections: int(a.request.Connections)}
	r, ok := a.owner.replicas.get(a.attempt.BackendServerId, limits)
	if !ok {
		return a.notSentReply(peerpb.ResultStatus_UNREACHABLE, "backend server is not in the view")
	}
	grant, err := a.acquire(ctx, r)
	if err != nil {
		return a.noSlotReply(err)
	}
	started := a.owner.config.Now()
	reply := a.call(ctx, r)
	a.serviceTime = a.owner.config.Now().Sub(started)
	reply.result.ServiceUs = a.serviceTime.Microseconds()
	grant.Release(a.measuredServiceTime(reply), reply.result.Status != peerpb.ResultStatus_SHED)
	return reply
}

// measuredServiceTime returns the service time for the queue's estimate. Only
// complete replies count as measurements; the result for any other is 0.
func (a *attemptRun) measuredServiceTime(reply shardReply) time.Duration {
	if reply.result.Status != peerpb.ResultStatus_OK {
		return 0
	}
	return a.serviceTime
}

// acquire waits for a slot and records the time spent in the queue.
func (a *attemptRun) acquire(ctx context.Context, r *replica) (*admission.Grant, error) {
	started := a.owner.config.Now()
	grant, err := r.queue.Acquire(ctx, admission.Request{
		Priority: int(a.request.Priority),
		Arrival:  a.arrival,
		Deadline: a.deadline,
	})
	a.queueTime = a.owner.config.Now().Sub(started)
	return grant, err
}

// call sends the request to the backend server. Right before sending, it checks
// again everything that may have changed while the attempt was queued or the
// process was paused.
func (a *attemptRun) call(ctx context.Context, r *replica) shardReply {
	config := a.owner.config
	config.Control.EnsureFresh(ctx)
	if err := ctx.Err(); err != nil {
		return a.noSlotReply(err)
	}
	now := config.Now()
	if !now.Before(a.deadline) {
		return a.notSentReply(peerpb.ResultStatus_DEADLINE, "deadline passed before sending")
	}
	if !config.View.AcceptsRequests(r.server.ID, now) {
		reply := a.notSentReply(peerpb.ResultStatus_DRAINING, "backend server is leaving")
		reply.result.Draining = true
		return reply
	}
	if err := config.Guard.Admit(a.request.Fingerprint, int(a.request.CrashLimit), now); err != nil {
		return a.notSentReply(peerpb.ResultStatus_QUARANTINED, err.Error())
	}
	config.Guard.Begin(a.request.Fingerprint, r.server, now)
	searchReply, err := r.pool.Search(ctx, a.searchCall(r))
	config.Guard.End(a.request.Fingerprint, r.server.ID, crashOutcome(err), config.Now())
	if err != nil {
		a.reportReachability(r, err)
		return a.failureReply(ctx, r, err)
	}
	a.owner.recordServerState(ctx, r.server.ID, searchReply.Draining, searchReply.Incarnation)
	if !a.matchesManifest(searchReply) {
		return a.invalidReply(ctx, searchReply)
	}
	r.recordReply()
	return a.successReply(searchReply)
}

// reportReachability tells the crash guard that the backend server could not be
// called at all, or that it has replied. With this the guard attributes crashes
// to the loss of a whole zone instead of to the requests that ran there.
func (a *attemptRun) reportReachability(r *replica, err error) {
	var call *backend.CallError
	if !errors.As(err, &call) {
		return
	}
	guard := a.owner.config.Guard
	switch {
	case call.Status == peerpb.ResultStatus_UNREACHABLE && call.RunState == peerpb.RunState_RUN_STATE_NOT_RUN:
		guard.RecordLoss(r.server, a.owner.config.Now())
	case call.Incarnation != "":
		guard.RecordReply(r.server.ID)
	}
}

// matchesManifest reports whether the reply has the key range and the number of
// documents that the manifest of the pinned snapshot states. This is checked
// before the hits of several shards are merged and cut to the limit, because
// hits of a rejected reply must not displace those of other shards.
func (a *attemptRun) matchesManifest(reply *backend.SearchReply) bool {
	return reply.From == a.attempt.From && reply.To == a.attempt.To && reply.Documents == a.attempt.Documents
}

// invalidReply logs a reply that differs from the manifest and returns it as an
// invalid reply without hits.
func (a *attemptRun) invalidReply(ctx context.Context, reply *backend.SearchReply) shardReply {
	result := a.result(peerpb.ResultStatus_INVALID_REPLY, peerpb.RunState_RUN_STATE_RUN)
	result.Snapshots = reply.Snapshots
	result.Draining = reply.Draining
	result.Detail = fmt.Sprintf("reply covers [%q, %q) with %d documents, the manifest states [%q, %q) with %d",
		reply.From, reply.To, reply.Documents, a.attempt.From, a.attempt.To, a.attempt.Documents)
	a.owner.config.Logger.WarnContext(ctx, "reply rejected",
		"backend_server", a.attempt.BackendServerId, "snapshot", reply.Snapshot, "error", result.Detail)
	return shardReply{result: result}
}

func (a *attemptRun) searchCall(r *replica) backend.SearchCall {
	return backend.SearchCall{
		MaySend:  func() bool { return a.owner.config.View.AcceptsRequests(r.server.ID, a.owner.config.Now()) },
		Request:  a.request.RequestId,
		Attempt:  a.attempt.Attempt,
		Shard:    a.attempt.Shard,
		Snapshot: a.request.Snapshot,
		Query:    a.request.Query,
		Limit:    a.request.Limit,
	}
}

func (a *attemptRun) successReply(reply *backend.SearchReply) shardReply {
	result := a.result(peerpb.ResultStatus_OK, peerpb.RunState_RUN_STATE_RUN)
	result.From, result.To, result.Documents = reply.From, reply.To, reply.Documents
	result.Snapshot = reply.Snapshot
	result.Snapshots = reply.Snapshots
	result.Draining = reply.Draining
	hits := make([]*peerpb.Hit, 0, len(reply.Hits))
	for _, h := range reply.Hits {
		hits = append(hits, &peerpb.Hit{Shard: a.attempt.Shard, Key: h.Key, Score: h.Score, Document: h.Document})
	}
	return shardReply{result: result, hits: hits}
}

func (a *attemptRun) failureReply(ctx context.Context, r *replica, err error) shardReply {
	a.owner.config.Logger.DebugContext(ctx, "search attempt failed", "backend_server", r.server.ID, "error", err)
	var call *backend.CallError
	if !errors.As(err, &call) {
		result := a.result(peerpb.ResultStatus_UNREACHABLE, peerpb.RunState_RUN_STATE_UNKNOWN)
		result.Detail = errtext.Describe(err)
		return shardReply{result: result}
	}
	a.owner.recordServerState(ctx, r.server.ID, call.Draining, call.Incarnation)
	result := a.result(a.statusOf(r, call), call.RunState)
	result.Snapshots = call.Snapshots
	result.Draining = call.Draining
	result.Detail = call.Detail
	return shardReply{result: result}
}

// statusOf returns the status of a failed call. An unreachable backend server
// that has not replied since this request crashed it counts as crashed:
// otherwise a request that is sent again would go on to the next backend server
// before the crash report has reached the entry instance.
func (a *attemptRun) statusOf(r *replica, call *backend.CallError) peerpb.ResultStatus {
	switch call.Status {
	case peerpb.ResultStatus_CRASHED:
		if a.owner.config.Guard.Admit(a.request.Fingerprint, 1, a.owner.config.Now()) != nil {
			r.recordCrash(a.request.Fingerprint)
		}
	case peerpb.ResultStatus_UNREACHABLE:
		if call.RunState == peerpb.RunState_RUN_STATE_NOT_RUN && r.wasCrashedBy(a.request.Fingerprint) {
			return peerpb.ResultStatus_CRASHED
		}
	case peerpb.ResultStatus_SHED, peerpb.ResultStatus_DRAINING, peerpb.ResultStatus_COLD, peerpb.ResultStatus_SNAPSHOT_GONE:
		r.recordReply()
	}
	return call.Status
}

// noSlotReply returns the reply for an attempt that left the queue without a slot,
// or whose context ended before the request was sent.
func (a *attemptRun) noSlotReply(err error) shardReply {
	status := peerpb.ResultStatus_SHED
	if errors.Is(err, context.DeadlineExceeded) {
		status = peerpb.ResultStatus_DEADLINE
	}
	return a.notSentReply(status, err.Error())
}

// notSentReply returns the reply for an attempt that was not sent.
func (a *attemptRun) notSentReply(status peerpb.ResultStatus, detail string) shardReply {
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
		QueueUs:         a.queueTime.Microseconds(),
	}
}

// crashOutcome translates the error of a call to an outcome for the crash guard.
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
