package submission

import (
	"fmt"
	"strings"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
)

// Refusal is the only error type of the Router.
type Refusal struct {
	Reason Reason
	Ticket ticket.Kind         // for ReasonTicket
	Status peerpb.ResultStatus // for ReasonBackend
	Detail string              // for callers
	Cause  error               // for the log, may be nil
	// Run is about this attempt: NOT_RUN or UNKNOWN. It is UNKNOWN as well when
	// the issuer ran nothing for the message that it refused but cannot rule out
	// that it ran a duplicate of it.
	Run peerpb.RunState
	// EarlierUnknown is true when earlier attempts with the same ticket may
	// have run.
	EarlierUnknown bool
	// Replayed is true when the refusal is the stored outcome of an earlier
	// attempt.
	Replayed bool
}

// Error gives the reason and what is known about the run.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("submission refused: %s%s", r.Reason, r.cause())
	switch {
	case r.Reason == ReasonTicket && r.EarlierUnknown:
		return text + ": not run by this attempt; outcome of earlier attempts unknown"
	case r.Run != peerpb.RunState_RUN_STATE_NOT_RUN:
		return text + ": outcome unknown"
	case r.EarlierUnknown:
		return text + ": not run by this attempt; outcome of earlier attempts unknown"
	default:
		return text + ": not run"
	}
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

func (r *Refusal) cause() string {
	cause := ""
	if r.Ticket != "" {
		cause += " " + string(r.Ticket)
	}
	if r.Status != peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED {
		cause += " " + strings.ToLower(strings.ReplaceAll(r.Status.String(), "_", "-"))
	}
	if r.Detail != "" {
		cause += " (" + r.Detail + ")"
	}
	return cause
}

// NotRun reports whether no attempt with the ticket has run and none ever will.
// Only then may a caller be told "not run" without reservation.
func (r *Refusal) NotRun() bool {
	return r.Run == peerpb.RunState_RUN_STATE_NOT_RUN && !r.EarlierUnknown
}
