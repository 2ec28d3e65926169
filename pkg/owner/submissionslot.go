package owner

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/admission"
	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/submission"
)

// submissionSlot is the right to send one submission to one backend server.
type submissionSlot struct {
	owner       *Owner
	replica     *replica
	grant       *admission.Grant
	request     submission.SlotRequest
	serviceTime time.Duration // duration of the call
	shed        bool          // the backend server refused the call because of overload
}

// Submit checks the view and the deadline right before sending, since both may
// have changed while the submission was queued or the process was paused.
func (s *submissionSlot) Submit(ctx context.Context, call submission.Call, guard submission.SendGuard) ([]byte, error) {
	config := s.owner.config
	config.Control.EnsureFresh(ctx)
	checked := &checkedGuard{guard: guard, check: s.canSend}
	started := config.Now()
	reply, err := s.replica.pool.Submit(ctx, backend.SubmitCall{
		Request:   call.RequestID,
		Attempt:   call.Attempt,
		Shard:     call.Shard,
		Operation: call.Operation,
		Key:       call.Key,
		Payload:   call.Payload,
	}, checked)
	s.serviceTime = config.Now().Sub(started)
	if err != nil {
		return nil, s.failed(ctx, err)
	}
	s.owner.recordServerState(ctx, s.replica.server.ID, reply.Draining, reply.Incarnation)
	return reply.Result, nil
}

// canSend reports whether the deadline has not passed and the backend server
// accepts requests.
func (s *submissionSlot) canSend() bool {
	now := s.owner.config.Now()
	return now.Before(s.request.Deadline) && s.owner.config.View.AcceptsRequests(s.replica.server.ID, now)
}

// failed logs a failed call, records what the backend server has sent about
// itself and returns the error for the submission.
func (s *submissionSlot) failed(ctx context.Context, err error) error {
	s.owner.config.Logger.DebugContext(ctx, "submission attempt failed", "backend_server", s.replica.server.ID, "error", err)
	var call *backend.CallError
	if errors.As(err, &call) {
		s.shed = call.Status == peerpb.ResultStatus_SHED
		s.owner.recordServerState(ctx, s.replica.server.ID, call.Draining, call.Incarnation)
	}
	return attemptError(err)
}

// Release returns the slot to the queue.
func (s *submissionSlot) Release() {
	s.grant.Release(s.serviceTime, !s.shed)
}

// checkedGuard adds a condition to a SendGuard: it refuses to send when check
// returns false.
type checkedGuard struct {
	guard submission.SendGuard
	check func() bool
}

// Send is called immediately before the first byte is written.
func (g *checkedGuard) Send() bool {
	return g.check() && g.guard.Send()
}
