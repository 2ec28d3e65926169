package owner

import (
	"context"
	"errors"

	"github.com/sycamorelift/sycamorelift/pkg/admission"
	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/submission"
)

// BackendSlots grants slots of backend servers to submissions, from the owner's
// queues and connections.
type BackendSlots struct {
	owner *Owner
}

// BackendSlots returns the granter of slots on this owner's backend servers.
func (o *Owner) BackendSlots() *BackendSlots { return &BackendSlots{owner: o} }

// Acquire waits for a slot of a backend server. When it gets none, the error is
// a *submission.AttemptError that says that the submission was not run.
func (s *BackendSlots) Acquire(ctx context.Context, request submission.SlotRequest) (submission.Slot, error) {
	limits := Limits{Slots: request.Slots, Connections: request.Connections}
	r, ok := s.owner.replicas.get(request.ServerID, limits)
	if !ok {
		return nil, notSent(peerpb.ResultStatus_UNREACHABLE, "backend server is not in the view")
	}
	grant, err := r.queue.Acquire(ctx, admission.Request{
		Priority: request.Priority,
		Arrival:  request.Arrival,
		Deadline: request.Deadline,
	})
	if err != nil {
		return nil, notSent(peerpb.ResultStatus_SHED, err.Error())
	}
	return &submissionSlot{owner: s.owner, replica: r, grant: grant, request: request}, nil
}

func notSent(status peerpb.ResultStatus, detail string) *submission.AttemptError {
	return &submission.AttemptError{Status: status, Run: peerpb.RunState_RUN_STATE_NOT_RUN, Detail: detail}
}

// attemptError translates a *backend.CallError to a *submission.AttemptError and
// returns any other error unchanged.
func attemptError(err error) error {
	var call *backend.CallError
	if !errors.As(err, &call) {
		return err
	}
	return &submission.AttemptError{Status: call.Status, Run: call.RunState, Detail: call.Detail}
}
