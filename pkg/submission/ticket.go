package submission

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/errtext"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/twitchtv/twirp"
)

// issueTimeout is the timeout of one request for a ticket. It is much longer than
// a round trip between availability zones (10 ms) and a garbage collection on
// the owner, and short enough to ask three owners within a second.
const issueTimeout = 250 * time.Millisecond

// TicketRequest describes the submission for which a ticket is requested.
type TicketRequest struct {
	Team    string
	Service string
	Key     string // the routing key of the submission
}

// Ticket permits one submission.
type Ticket struct {
	Token     string
	ExpiresIn time.Duration
	IssuerID  string // id of the issuing instance
}

// RequestTicket asks the owners of the replicas of the key's shard for a ticket,
// in order of rank, until one issues it. An owner that timed out may have issued
// a ticket too; this is harmless, because a ticket that nobody redeems runs
// nothing. The error is a *Refusal.
func (r *Router) RequestTicket(ctx context.Context, request TicketRequest) (Ticket, error) {
	shard, refusal := r.shardOfKey(request.Team, request.Service, request.Key)
	if refusal != nil {
		return Ticket{}, refusal
	}
	detail, cause := "the view has no owner", error(nil)
	for _, candidate := range r.owners(shard) {
		issued, err := r.issueFrom(ctx, candidate, request)
		if err == nil {
			return issued, nil
		}
		detail, cause = candidate.instance.ID+": "+describeIssueError(err), err
		if ctx.Err() != nil {
			break
		}
	}
	return Ticket{}, &Refusal{Reason: ReasonNoOwner, Run: peerpb.RunState_RUN_STATE_NOT_RUN, Detail: detail, Cause: cause}
}

// describeIssueError returns the text that callers see for a failed request for a
// ticket. The message of an issuer's own refusal is written for callers; other
// errors may contain addresses and are described in general terms.
func describeIssueError(err error) string {
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.Unavailable {
		return refused.Msg()
	}
	return errtext.Describe(err)
}

func (r *Router) issueFrom(ctx context.Context, from owner, request TicketRequest) (Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, issueTimeout)
	defer cancel()
	reply, err := r.ticketClient(from.instance).IssueTicket(ctx, &peerpb.IssueTicketRequest{
		Sender:          r.config.Control.Sender(),
		Team:            request.Team,
		Service:         request.Service,
		Key:             request.Key,
		BackendServerId: from.serverID,
	})
	r.recordCall(ctx, from.instance, err)
	if err != nil {
		return Ticket{}, err
	}
	r.config.Control.ObserveSender(reply.Sender)
	return Ticket{
		Token:     reply.Ticket,
		ExpiresIn: time.Duration(reply.ExpiresInMs) * time.Millisecond,
		IssuerID:  from.instance.ID,
	}, nil
}
