package fleet

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/sycamorelift/sycamorelift/pkg/oracle"
)

// submit takes a ticket and redeems it. Each instance asked gets the same
// ticket, as a caller does that must not submit twice.
func (f *Fleet) submit(ctx context.Context, request Request) Reply {
	ticket, reply := f.Ticket(ctx, request)
	if ticket == "" {
		return reply
	}
	return f.Redeem(ctx, request, ticket)
}

// Ticket takes a ticket for a submission. Without one, the reply tells why.
func (f *Fleet) Ticket(ctx context.Context, request Request) (string, Reply) {
	raw, tries, err := f.ask(ctx, request, "tickets", ticketBody{Key: request.Key}, "")
	if err != nil {
		return "", Reply{Outcome: Failed, Reason: "ticket: " + err.Error(), Tries: tries}
	}
	if refusal := raw.refusal(); refusal != nil {
		f.record(request, refusal.RequestID, refusal.Run, "")
		return "", Reply{Outcome: Refused, Refusal: refusal, Reason: refusal.Reason.Name(), Tries: tries}
	}
	var issued ticketReply
	if json.Unmarshal(raw.body, &issued) != nil || issued.Ticket == "" {
		return "", Reply{Outcome: Failed, Reason: "reply is not a ticket", Tries: tries}
	}
	return issued.Ticket, Reply{}
}

// Redeem sends a submission with its ticket. A caller that got no clear reply
// repeats it, through any instance, with the same request and ticket.
func (f *Fleet) Redeem(ctx context.Context, request Request, ticket string) Reply {
	body := submitBody{Key: request.Key, Payload: request.Payload}
	raw, tries, err := f.ask(ctx, request, "submit", body, ticket)
	if err != nil {
		f.record(request, "", oracle.Unknown, "")
		return Reply{Outcome: Failed, Reason: err.Error(), Tries: tries}
	}
	if tries > 1 { // an instance that gave no reply may have run it
		f.record(request, "", oracle.Unknown, "")
	}
	if refusal := raw.refusal(); refusal != nil {
		f.record(request, refusal.RequestID, refusal.Run, "")
		return Reply{Outcome: Refused, Refusal: refusal, Reason: refusal.Reason.Name(), Tries: tries}
	}
	var done submitReply
	if json.Unmarshal(raw.body, &done) != nil || raw.status != http.StatusOK {
		f.record(request, "", oracle.Unknown, "")
		return Reply{Outcome: Failed, Reason: "reply is not a submission's", Tries: tries}
	}
	problems := f.record(request, done.RequestID, oracle.RunState(done.Run), done.text())
	return Reply{Outcome: Complete, Tries: tries, Problems: problems}
}

func (f *Fleet) record(request Request, id string, run oracle.RunState, result string) []oracle.Problem {
	return f.Audit.Submission(request.Service, request.Key, request.Payload, id, run, result)
}
