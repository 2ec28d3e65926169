package owner

import (
	"context"
	"errors"

	"github.com/sycamorelift/sycamorelift/pkg/admission"
	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/submission"
)

// Submissions grants slots of backend servers to submissions, from the owner's
// queues and connections.
type Submissions struct {
	owner *Owner
}

// Submissions returns the granter of slots on this owner's backend servers.
func (o *Owner) Submissions() *Submissions { return &Submissions{owner: o} }

// Acquire waits for a slot of a backend server. When it gets none, the error is
// a *submission.AttemptError that says that the submission was not run.
func (s *Submissions) Acquire(ctx context.Context, attempt submission.SlotRequest) (submission.Slot, error) {
	limits := Limits{Slots: attempt.Slots, Connections: attempt.Connections}
	r, ok := s.owner.replicas.get(attempt.ServerID, limits)
	if !ok {
		return nil, notSent(peerpb.ResultStatus_UNREACHABLE, "backend server is not in the view")
	}
	grant, err := r.queue.Acquire(ctx, admission.Request{
		Priority: attempt.Priority,
		Arrival:  attempt.Arrival,
		Deadline: attempt.Deadline,
	})
	if err != nil {
		return nil, notSent(peerpb.ResultStatus_SHED, err.Error())
	}
	return &submissionSlot{owner: s.owner, replica: r, grant: grant, attempt: attempt}, nil
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
	return &submission.AttemptError{Status: call.Status, Run: call.Run, Detail: call.Detail}
}
