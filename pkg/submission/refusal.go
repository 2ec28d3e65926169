package submission

import (
	"fmt"
	"strings"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
)

// Refusal is the error that the Router returns for submissions and tickets.
type Refusal struct {
	Reason Reason
	Ticket ticket.Kind         // for ReasonTicket
	Status peerpb.ResultStatus // for ReasonBackend
	Detail string              // for callers
	Cause  error               // for the log, may be nil
	// Run states whether this attempt ran: NOT_RUN or UNKNOWN. It is also
	// UNKNOWN when the issuer refused the message but cannot rule out that a
	// duplicate of the message ran.
	Run peerpb.RunState
	// EarlierUnknown is true when an earlier attempt with the same ticket may
	// have run.
	EarlierUnknown bool
	// Replayed is true when the refusal is the stored outcome of an earlier
	// attempt.
	Replayed bool
}

// Error returns the reason and whether the submission may have run.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("submission refused: %s%s", r.Reason, r.describeCause())
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

func (r *Refusal) describeCause() string {
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

// NotRun reports whether it is certain that no attempt with the ticket has run
// or ever will. A caller may be told an unqualified "not run" only if this is
// true.
func (r *Refusal) NotRun() bool {
	return r.Run == peerpb.RunState_RUN_STATE_NOT_RUN && !r.EarlierUnknown
}
