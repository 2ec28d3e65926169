package submission

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/errtext"
	"github.com/sycamorelift/sycamorelift/pkg/outcome"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
)

// run is the one execution of a ticket's submission.
type run struct {
	issuer    *Issuer
	request   *peerpb.RedeemRequest
	operation string
	arrival   time.Time
	timeout   time.Duration
	state     outcome.State
}

// execute returns the outcome. At the deadline it refuses at once when nothing
// was sent; the atomic state keeps a send from happening afterwards. Otherwise
// it waits for the backend call, which ends with ctx.
func (r *run) execute(ctx context.Context) ticket.Result {
	finished := make(chan ticket.Result, 1)
	go func() { finished <- r.attemptsRecovered(ctx) }()
	select {
	case result := <-finished:
		return result
	case <-ctx.Done():
	}
	if r.state.Refuse() {
		return notRun(peerpb.ResultStatus_DEADLINE, "deadline passed before sending")
	}
	return <-finished
}

// attemptsRecovered keeps a panic from ending the process, as net/http does for
// the goroutine that it starts itself.
func (r *run) attemptsRecovered(ctx context.Context) (result ticket.Result) {
	defer func() {
		if cause := recover(); cause != nil {
			r.issuer.config.Logger.ErrorContext(ctx, "submission panicked", "panic", cause, "stack", string(debug.Stack()))
			result = unknown(errtext.Internal)
		}
	}()
	return r.attempts(ctx)
}

// attempts tries the candidates in order. It goes on to the next one only when
// the previous attempt is known not to have run.
func (r *run) attempts(ctx context.Context) ticket.Result {
	last := &AttemptError{Status: peerpb.ResultStatus_UNREACHABLE, Detail: "no candidate backend server"}
	for n, serverID := range r.request.BackendServerIds {
		if ctx.Err() != nil {
			last = &AttemptError{Status: peerpb.ResultStatus_DEADLINE, Detail: "deadline passed between attempts"}
			break
		}
		payload, err := r.attempt(ctx, int32(n+1), serverID)
		if err == nil {
			r.state.Answer(peerpb.RunState_RUN_STATE_RUN)
			return ticket.Result{Run: peerpb.RunState_RUN_STATE_RUN, Status: peerpb.ResultStatus_OK, Payload: payload}
		}
		if !errors.As(err, &last) {
			return unknown(errtext.Describe(err))
		}
		if last.Run != peerpb.RunState_RUN_STATE_NOT_RUN {
			r.state.Answer(last.Run)
			return ticket.Result{Run: last.Run, Status: last.Status, Detail: last.Detail}
		}
		r.state.NotRun()
	}
	if !r.state.Refuse() {
		return unknown(last.Detail)
	}
	return notRun(last.Status, last.Detail)
}

func (r *run) attempt(ctx context.Context, number int32, serverID string) ([]byte, error) {
	slot, err := r.issuer.config.Replicas.Acquire(ctx, Attempt{
		ServerID:    serverID,
		Priority:    int(r.request.Priority),
		Arrival:     r.arrival,
		Deadline:    r.arrival.Add(r.timeout),
		Slots:       int(r.request.Slots),
		Connections: int(r.request.Connections),
	})
	if err != nil {
		return nil, notSent(err)
	}
	defer slot.Release()
	return slot.Submit(ctx, Call{
		RequestID: r.request.RequestId,
		Operation: r.operation,
		Attempt:   number,
		Shard:     r.request.Shard,
		Key:       r.request.Key,
		Payload:   r.request.Payload,
	}, &r.state)
}

// notSent turns an error before sending into one that permits another attempt.
func notSent(err error) *AttemptError {
	var failure *AttemptError
	if !errors.As(err, &failure) {
		failure = &AttemptError{Status: peerpb.ResultStatus_SHED, Detail: err.Error()}
	}
	return &AttemptError{Status: failure.Status, Run: peerpb.RunState_RUN_STATE_NOT_RUN, Detail: failure.Detail}
}

func notRun(status peerpb.ResultStatus, detail string) ticket.Result {
	return ticket.Result{Run: peerpb.RunState_RUN_STATE_NOT_RUN, Status: status, Detail: detail}
}

func unknown(detail string) ticket.Result {
	return ticket.Result{Run: peerpb.RunState_RUN_STATE_UNKNOWN, Status: peerpb.ResultStatus_UNREACHABLE, Detail: detail}
}
