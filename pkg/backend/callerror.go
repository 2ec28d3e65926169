package backend

import (
	"fmt"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// CallError is the only error type that Search and Submit return. Draining,
// Snapshots and Incarnation come from the headers of the reply, if a whole reply
// arrived.
type CallError struct {
	Status      peerpb.ResultStatus
	RunState    peerpb.RunState
	Draining    bool
	Snapshots   []int64
	Incarnation string
	Detail      string // shown to callers; names no address
	Cause       error  // for logs and spans; may be nil
}

// Error returns status, run state, detail and cause. The text is for logs and
// spans; callers get only Detail.
func (e *CallError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("backend call: %s, %s: %s: %v", e.Status, e.RunState, e.Detail, e.Cause)
	}
	return fmt.Sprintf("backend call: %s, %s: %s", e.Status, e.RunState, e.Detail)
}

// Unwrap returns the cause, for example context.Canceled.
func (e *CallError) Unwrap() error { return e.Cause }

// withState adds what the headers of the reply state about the server.
func (e *CallError) withState(s ServerState) *CallError {
	e.Draining = s.Draining
	e.Snapshots = s.Snapshots
	e.Incarnation = s.Incarnation
	return e
}

// notRun returns the error of a request that certainly did not run.
func notRun(status peerpb.ResultStatus, detail string, cause error) *CallError {
	return &CallError{Status: status, RunState: peerpb.RunState_RUN_STATE_NOT_RUN, Detail: detail, Cause: cause}
}

// unknownRun returns the error of a request that may have run.
func unknownRun(status peerpb.ResultStatus, detail string, cause error) *CallError {
	return &CallError{Status: status, RunState: peerpb.RunState_RUN_STATE_UNKNOWN, Detail: detail, Cause: cause}
}

// invalidReply returns the error of a call whose reply violates the protocol
// or does not match the call. The request may have run.
func invalidReply(detail string, cause error) *CallError {
	return unknownRun(peerpb.ResultStatus_INVALID_REPLY, detail, cause)
}
