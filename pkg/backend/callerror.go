package backend

import (
	"fmt"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// CallError is the only error type of Search and Submit.
type CallError struct {
	Status      peerpb.ResultStatus
	Run         peerpb.RunState
	Draining    bool
	Snapshots   []int64
	Incarnation string
	Detail      string // for callers
	Cause       error  // may be nil
}

// Error names status, run state, detail and cause. It is for logs and spans.
func (e *CallError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("backend call: %s, %s: %s: %v", e.Status, e.Run, e.Detail, e.Cause)
	}
	return fmt.Sprintf("backend call: %s, %s: %s", e.Status, e.Run, e.Detail)
}

// Unwrap returns the cause, for example context.Canceled.
func (e *CallError) Unwrap() error { return e.Cause }

func (e *CallError) withState(s ServerState) *CallError {
	e.Draining = s.Draining
	e.Snapshots = s.Snapshots
	e.Incarnation = s.Incarnation
	return e
}

func notRun(status peerpb.ResultStatus, detail string, cause error) *CallError {
	return &CallError{Status: status, Run: peerpb.RunState_RUN_STATE_NOT_RUN, Detail: detail, Cause: cause}
}

func unknownRun(status peerpb.ResultStatus, detail string, cause error) *CallError {
	return &CallError{Status: status, Run: peerpb.RunState_RUN_STATE_UNKNOWN, Detail: detail, Cause: cause}
}

func invalidReply(detail string, cause error) *CallError {
	return unknownRun(peerpb.ResultStatus_INVALID_REPLY, detail, cause)
}
