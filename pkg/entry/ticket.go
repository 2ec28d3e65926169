package entry

import (
	"context"
	"net/http"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/submission"
)

// ticketBody is the JSON body of a request for a ticket.
type ticketBody struct {
	Key string `json:"key"` // routing key of the submission
}

// ticketReply holds a ticket, which permits one submission.
type ticketReply struct {
	Ticket      string `json:"ticket"`
	ExpiresInMs int64  `json:"expires_in_ms"`
	Issuer      string `json:"issuer"`
}

// handleTicket issues a ticket. The refusal rules of the class are applied only
// when the ticket is redeemed.
func (e *Entry) handleTicket(_ http.ResponseWriter, r *http.Request, c call) (any, error) {
	var body ticketBody
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	e.config.Control.EnsureFresh(r.Context())
	policy, err := e.resolvePolicy(r.Context(), c.team, c.service, c.token, bundle.KindSubmission)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), policy.Deadline)
	defer cancel()
	issued, err := e.config.Submissions.RequestTicket(ctx, submission.TicketRequest{
		Team: c.team, Service: c.service, Key: body.Key,
	})
	if err != nil {
		return nil, submissionRefusal(err)
	}
	e.config.Metrics.Count("tickets.issued", 1)
	return ticketReply{Ticket: issued.Token, ExpiresInMs: issued.ExpiresIn.Milliseconds(), Issuer: issued.IssuerID}, nil
}
