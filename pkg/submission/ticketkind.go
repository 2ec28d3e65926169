package submission

import (
	"strings"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
)

// ticketDetail starts the detail of a reply that refuses the ticket itself; the
// ticket.Kind follows. Such a reply has no status, since it is no outcome.
const ticketDetail = "ticket:"

func encodeTicketKind(reply *peerpb.RedeemReply, refusal *ticket.Error) {
	reply.Status = peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED
	reply.Detail = ticketDetail + string(refusal.Kind)
	reply.EarlierUnknown = refusal.EarlierUnknown
}

func decodeTicketKind(reply *peerpb.RedeemReply) (ticket.Kind, bool) {
	if reply.Status != peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED {
		return "", false
	}
	kind, ok := strings.CutPrefix(reply.Detail, ticketDetail)
	return ticket.Kind(kind), ok
}
