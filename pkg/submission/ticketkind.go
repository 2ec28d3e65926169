package submission

import (
	"strings"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
)

// ticketDetailPrefix precedes the ticket.Kind in the detail of a reply that
// refuses the ticket itself. Such a reply has no status, because it is not the
// outcome of a submission.
const ticketDetailPrefix = "ticket:"

func encodeTicketKind(reply *peerpb.RedeemReply, refusal *ticket.Error) {
	reply.Status = peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED
	reply.Detail = ticketDetailPrefix + string(refusal.Kind)
	reply.EarlierUnknown = refusal.EarlierUnknown
}

func decodeTicketKind(reply *peerpb.RedeemReply) (ticket.Kind, bool) {
	if reply.Status != peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED {
		return "", false
	}
	kind, ok := strings.CutPrefix(reply.Detail, ticketDetailPrefix)
	return ticket.Kind(kind), ok
}
