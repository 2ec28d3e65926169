package submission

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/errtext"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/twitchtv/twirp"
)

// issueTimeout bounds one request for a ticket. It exceeds a round trip between
// availability zones (10 ms) and a garbage collection of the owner by far, and
// leaves time for three owners within a second.
const issueTimeout = 250 * time.Millisecond

// TicketRequest asks for a ticket for one submission.
type TicketRequest struct {
	Team    string
	Service string
	Key     string // the routing key of the submission
}

// Ticket permits one submission.
type Ticket struct {
	Token     string
	ExpiresIn time.Duration
	Issuer    string // id of the issuing instance
}

// Ticket gets a ticket from an owner of a replica of the key's shard, first
// ranks first. Asking several owners is harmless, because a ticket that nobody
// redeems runs nothing. The error is a *Refusal.
func (r *Router) Ticket(ctx context.Context, request TicketRequest) (Ticket, error) {
	p, refusal := r.place(request.Team, request.Service, request.Key)
	if refusal != nil {
		return Ticket{}, refusal
	}
	detail, cause := "the view has no owner", error(nil)
	for _, candidate := range r.owners(p) {
		issued, err := r.issue(ctx, candidate, request)
		if err == nil {
			return issued, nil
		}
		detail, cause = candidate.instance.ID+": "+describeIssue(err), err
		if ctx.Err() != nil {
			break
		}
	}
	return Ticket{}, &Refusal{Reason: ReasonNoOwner, Run: peerpb.RunState_RUN_STATE_NOT_RUN, Detail: detail, Cause: cause}
}

// describeIssue words the error of a request for a ticket. The issuer's own
// refusal is meant for callers; other errors name addresses.
func describeIssue(err error) string {
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.Unavailable {
		return refused.Msg()
	}
	return errtext.Describe(err)
}

func (r *Router) issue(ctx context.Context, from owner, request TicketRequest) (Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, issueTimeout)
	defer cancel()
	reply, err := r.tickets(from.instance).IssueTicket(ctx, &peerpb.IssueTicketRequest{
		Sender:          r.config.Control.Sender(),
		Team:            request.Team,
		Service:         request.Service,
		Key:             request.Key,
		BackendServerId: from.serverID,
	})
	r.report(ctx, from.instance, err)
	if err != nil {
		return Ticket{}, err
	}
	r.config.Control.ObserveSender(reply.Sender)
	return Ticket{
		Token:     reply.Ticket,
		ExpiresIn: time.Duration(reply.ExpiresInMs) * time.Millisecond,
		Issuer:    from.instance.ID,
	}, nil
}
