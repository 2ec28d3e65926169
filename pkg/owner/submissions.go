package owner

import (
	"context"
	"errors"

	"github.com/sycamorelift/sycamorelift/pkg/admission"
	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/submission"
)

// Submissions gives submissions access to the owner's queues and connections.
type Submissions struct {
	owner *Owner
}

// Submissions returns the access of submissions to this owner's replicas.
func (o *Owner) Submissions() *Submissions { return &Submissions{owner: o} }

// Acquire waits for a slot of a backend server.
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

// attemptError translates an error of the backend client.
func attemptError(err error) error {
	var call *backend.CallError
	if !errors.As(err, &call) {
		return err
	}
	return &submission.AttemptError{Status: call.Status, Run: call.Run, Detail: call.Detail}
}
