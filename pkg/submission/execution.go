package submission

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/errtext"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/runstate"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
)

// execution is the only execution of a ticket's submission.
type execution struct {
	issuer      *Issuer
	request     *peerpb.RedeemRequest
	operationID string
	arrival     time.Time
	timeout     time.Duration
	state       runstate.State
}

// execute returns the outcome of the submission. If nothing was sent by the
// deadline, execute refuses the submission at once, and the atomic run state
// prevents a later send. Otherwise it waits for the call to the backend server,
// which ends with ctx.
func (e *execution) execute(ctx context.Context) ticket.Result {
	finished := make(chan ticket.Result, 1)
	go func() { finished <- e.tryCandidatesRecovered(ctx) }()
	select {
	case result := <-finished:
		return result
	case <-ctx.Done():
	}
	if e.state.Refuse() {
		return notRunResult(peerpb.ResultStatus_DEADLINE, "deadline passed before sending")
	}
	return <-finished
}

// tryCandidatesRecovered calls tryCandidates and recovers from a panic, which
// would otherwise end the process: net/http recovers only in the goroutine that
// it started for the request.
func (e *execution) tryCandidatesRecovered(ctx context.Context) (result ticket.Result) {
	defer func() {
		if cause := recover(); cause != nil {
			e.issuer.config.Logger.ErrorContext(ctx, "submission panicked", "panic", cause, "stack", string(debug.Stack()))
			result = unknownResult(errtext.Internal)
		}
	}()
	return e.tryCandidates(ctx)
}

// tryCandidates tries the candidate backend servers in order. It tries the next
// one only when the server of the previous attempt certainly did not run the
// submission.
func (e *execution) tryCandidates(ctx context.Context) ticket.Result {
	last := &AttemptError{Status: peerpb.ResultStatus_UNREACHABLE, Detail: "no candidate backend server"}
	for index, serverID := range e.request.BackendServerIds {
		if ctx.Err() != nil {
			last = &AttemptError{Status: peerpb.ResultStatus_DEADLINE, Detail: "deadline passed between attempts"}
			break
		}
		payload, err := e.attempt(ctx, int32(index+1), serverID)
		if err == nil {
			e.state.Answer(peerpb.RunState_RUN_STATE_RUN)
			return ticket.Result{Run: peerpb.RunState_RUN_STATE_RUN, Status: peerpb.ResultStatus_OK, Payload: payload}
		}
		if !errors.As(err, &last) {
			return unknownResult(errtext.Describe(err))
		}
		if last.Run != peerpb.RunState_RUN_STATE_NOT_RUN {
			e.state.Answer(last.Run)
			return ticket.Result{Run: last.Run, Status: last.Status, Detail: last.Detail}
		}
		e.state.NotRun()
	}
	if !e.state.Refuse() {
		return unknownResult(last.Detail)
	}
	return notRunResult(last.Status, last.Detail)
}

func (e *execution) attempt(ctx context.Context, number int32, serverID string) ([]byte, error) {
	slot, err := e.issuer.config.BackendSlots.Acquire(ctx, SlotRequest{
		ServerID:    serverID,
		Priority:    int(e.request.Priority),
		Arrival:     e.arrival,
		Deadline:    e.arrival.Add(e.timeout),
		Slots:       int(e.request.Slots),
		Connections: int(e.request.Connections),
	})
	if err != nil {
		return nil, notSentError(err)
	}
	defer slot.Release()
	return slot.Submit(ctx, Call{
		RequestID: e.request.RequestId,
		Operation: e.operationID,
		Attempt:   number,
		Shard:     e.request.Shard,
		Key:       e.request.Key,
		Payload:   e.request.Payload,
	}, &e.state)
}

// notSentError converts an error from before the send into an AttemptError that
// permits another attempt.
func notSentError(err error) *AttemptError {
	var failure *AttemptError
	if !errors.As(err, &failure) {
		failure = &AttemptError{Status: peerpb.ResultStatus_SHED, Detail: err.Error()}
	}
	return &AttemptError{Status: failure.Status, Run: peerpb.RunState_RUN_STATE_NOT_RUN, Detail: failure.Detail}
}

func notRunResult(status peerpb.ResultStatus, detail string) ticket.Result {
	return ticket.Result{Run: peerpb.RunState_RUN_STATE_NOT_RUN, Status: status, Detail: detail}
}

func unknownResult(detail string) ticket.Result {
	return ticket.Result{Run: peerpb.RunState_RUN_STATE_UNKNOWN, Status: peerpb.ResultStatus_UNREACHABLE, Detail: detail}
}
