package submission

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/errtext"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
)

const (
	// defaultTimeout applies when the context of a submission has no deadline.
	defaultTimeout = 10 * time.Second
	// replyReserve is the time reserved for the issuer's reply. Without it, the
	// refusal of an issuer at its deadline would arrive too late, and the caller
	// would be told "unknown" instead of "not run".
	replyReserve = 25 * time.Millisecond
)

// Request is a submission that a caller sends with a ticket.
type Request struct {
	RequestID   string
	Token       string // the ticket's token
	Team        string
	Service     string
	Key         string
	Payload     []byte
	Priority    int // 0 is served first
	Slots       int // limit per backend server, from the bundle pinned for the request
	Connections int // limit per backend server, from the same bundle
}

// Answer is the result of a submission that has run.
type Answer struct {
	Result   []byte
	Replayed bool   // whether Result is the stored outcome of an earlier attempt
	Detail   string // set when the stored result is no longer available
	IssuerID string // id of the instance that ran the submission
}

// Submit forwards a submission to the issuer that its ticket names. It takes the
// issuer's address from the view and never from the ticket, because the entry
// does not authenticate tickets. The error is a *Refusal.
func (r *Router) Submit(ctx context.Context, request Request) (Answer, error) {
	issuerID, _, err := ticket.ParseIssuer(request.Token)
	if err != nil {
		return Answer{}, notForwarded(Refusal{Reason: ReasonTicket, Ticket: ticket.KindMalformed})
	}
	issuer, ok := r.findIssuer(issuerID)
	if !ok {
		return Answer{}, notForwarded(Refusal{Reason: ReasonIssuerUnknown})
	}
	shard, refusal := r.shardOfKey(request.Team, request.Service, request.Key)
	if refusal != nil {
		return Answer{}, notForwarded(*refusal)
	}
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	return r.forward(ctx, issuer, r.redeemRequest(ctx, request, shard, issuerID))
}

func (r *Router) findIssuer(id string) (membership.Instance, bool) {
	if id == r.config.Self.ID {
		return r.config.Self, true
	}
	return r.config.View.Instance(id)
}

// notForwarded returns the refusal of an attempt that sent nothing to the
// issuer. Earlier attempts through this or another instance may have run.
func notForwarded(refusal Refusal) *Refusal {
	refusal.Run = peerpb.RunState_RUN_STATE_NOT_RUN
	refusal.EarlierUnknown = true
	return &refusal
}

func (r *Router) redeemRequest(ctx context.Context, request Request, shard keyShard, issuerID string) *peerpb.RedeemRequest {
	return &peerpb.RedeemRequest{
		Sender:           r.config.Control.Sender(),
		RequestId:        request.RequestID,
		Ticket:           request.Token,
		Team:             request.Team,
		Service:          request.Service,
		Key:              request.Key,
		Payload:          request.Payload,
		Priority:         int32(request.Priority),
		TimeoutMs:        issuerTimeout(ctx).Milliseconds(),
		Slots:            int32(request.Slots),
		Connections:      int32(request.Connections),
		BackendServerIds: r.candidateServerIDs(shard, issuerID),
		Shard:            int32(shard.index),
	}
}

// issuerTimeout returns the time that the issuer has for the submission: the time
// until the deadline of ctx, less the reserve for the reply. It uses time.Until
// and not config.Now, since ctx follows the clock of package time. ctx must have
// a deadline.
func issuerTimeout(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	return max(remaining-min(replyReserve, remaining/4), 0)
}

func (r *Router) forward(ctx context.Context, issuer membership.Instance, message *peerpb.RedeemRequest) (Answer, error) {
	reply, err := r.ticketClient(issuer).Redeem(ctx, message)
	r.recordCall(ctx, issuer, err)
	switch {
	case err != nil && r.config.NotSent(err):
		return Answer{}, notForwarded(Refusal{Reason: ReasonIssuerUnreachable, Detail: errtext.Describe(err), Cause: err})
	case err != nil:
		return Answer{}, &Refusal{Reason: ReasonNoAnswer, Detail: errtext.Describe(err), Cause: err, EarlierUnknown: true}
	}
	r.config.Control.ObserveSender(reply.Sender)
	return decodeReply(reply, issuer.ID)
}

func decodeReply(reply *peerpb.RedeemReply, issuerID string) (Answer, error) {
	if reply.Run == peerpb.RunState_RUN_STATE_RUN {
		return Answer{Result: reply.Result, Replayed: reply.Replayed, Detail: reply.Detail, IssuerID: issuerID}, nil
	}
	refusal := &Refusal{
		Reason:         ReasonBackend,
		Status:         reply.Status,
		Detail:         reply.Detail,
		Run:            reply.Run,
		EarlierUnknown: reply.EarlierUnknown,
		Replayed:       reply.Replayed,
	}
	if reply.EarlierUnknown {
		// A duplicate of this attempt's message may have run, for example on an
		// earlier incarnation of the issuer.
		refusal.Run = peerpb.RunState_RUN_STATE_UNKNOWN
	}
	if kind, ok := decodeTicketKind(reply); ok {
		refusal.Reason, refusal.Ticket, refusal.Detail = ReasonTicket, kind, ""
	}
	return Answer{}, refusal
}
