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
	// replyReserve is the time kept for the issuer's reply. Without it, an
	// issuer that refuses at its deadline would be heard too late and the
	// caller told "unknown" instead of "not run".
	replyReserve = 25 * time.Millisecond
)

// Request is one submission.
type Request struct {
	RequestID   string
	Token       string
	Team        string
	Service     string
	Key         string
	Payload     []byte
	Priority    int // 0 is served first
	Slots       int // per backend server, from the pinned bundle
	Connections int
}

// Answer is the result of a submission that has run.
type Answer struct {
	Result   []byte
	Replayed bool   // the stored outcome of an earlier attempt
	Detail   string // set when the stored result is no longer available
	Issuer   string // id of the instance that ran it
}

// Submit forwards a submission to the issuer that its ticket names. The issuer
// is looked up in the view: an address never comes from a ticket, which is not
// authenticated here. The error is a *Refusal.
func (r *Router) Submit(ctx context.Context, request Request) (Answer, error) {
	issuerID, _, err := ticket.Issuer(request.Token)
	if err != nil {
		return Answer{}, notForwarded(Refusal{Reason: ReasonTicket, Ticket: ticket.KindMalformed})
	}
	issuer, ok := r.issuer(issuerID)
	if !ok {
		return Answer{}, notForwarded(Refusal{Reason: ReasonIssuerUnknown})
	}
	p, refusal := r.place(request.Team, request.Service, request.Key)
	if refusal != nil {
		return Answer{}, notForwarded(*refusal)
	}
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	return r.forward(ctx, issuer, r.message(ctx, request, p, issuerID))
}

func (r *Router) issuer(id string) (membership.Instance, bool) {
	if id == r.config.Self.ID {
		return r.config.Self, true
	}
	return r.config.View.Instance(id)
}

// notForwarded completes the refusal of an attempt that sent nothing. Earlier
// attempts through this or another instance may have run.
func notForwarded(refusal Refusal) *Refusal {
	refusal.Run = peerpb.RunState_RUN_STATE_NOT_RUN
	refusal.EarlierUnknown = true
	return &refusal
}

func (r *Router) message(ctx context.Context, request Request, p place, issuerID string) *peerpb.RedeemRequest {
	return &peerpb.RedeemRequest{
		Sender:           r.config.Control.Sender(),
		RequestId:        request.RequestID,
		Ticket:           request.Token,
		Team:             request.Team,
		Service:          request.Service,
		Key:              request.Key,
		Payload:          request.Payload,
		Priority:         int32(request.Priority),
		TimeoutMs:        timeout(ctx).Milliseconds(),
		Slots:            int32(request.Slots),
		Connections:      int32(request.Connections),
		BackendServerIds: r.candidates(p, issuerID),
		Shard:            int32(p.shard),
	}
}

// timeout reads the deadline, which ctx has, by the same clock as ctx does.
func timeout(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	return max(left-min(replyReserve, left/4), 0)
}

func (r *Router) forward(ctx context.Context, issuer membership.Instance, message *peerpb.RedeemRequest) (Answer, error) {
	reply, err := r.tickets(issuer).Redeem(ctx, message)
	r.report(ctx, issuer, err)
	switch {
	case err != nil && r.config.NotSent(err):
		return Answer{}, notForwarded(Refusal{Reason: ReasonIssuerUnreachable, Detail: errtext.Describe(err), Cause: err})
	case err != nil:
		return Answer{}, &Refusal{Reason: ReasonNoAnswer, Detail: errtext.Describe(err), Cause: err, EarlierUnknown: true}
	}
	r.config.Control.ObserveSender(reply.Sender)
	return answer(reply, issuer.ID)
}

func answer(reply *peerpb.RedeemReply, issuerID string) (Answer, error) {
	if reply.Run == peerpb.RunState_RUN_STATE_RUN {
		return Answer{Result: reply.Result, Replayed: reply.Replayed, Detail: reply.Detail, Issuer: issuerID}, nil
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
		// A duplicate of this attempt's message may have run, for example in an
		// earlier incarnation of the issuer.
		refusal.Run = peerpb.RunState_RUN_STATE_UNKNOWN
	}
	if kind, ok := decodeTicketKind(reply); ok {
		refusal.Reason, refusal.Ticket, refusal.Detail = ReasonTicket, kind, ""
	}
	return Answer{}, refusal
}
