package submission

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
	"github.com/twitchtv/twirp"
)

// IssuerConfig holds the dependencies of an Issuer.
type IssuerConfig struct {
	Ledger       *ticket.Ledger
	BackendSlots BackendSlots
	Sender       func() *peerpb.Sender // identifies this instance in messages
	Now          func() time.Time
	Logger       *slog.Logger // nil logs nothing
}

// Issuer implements the calls IssueTicket and Redeem of peerpb.Peer. It is safe
// for concurrent use.
type Issuer struct {
	config IssuerConfig
}

// NewIssuer returns an issuer of tickets that config.Ledger records.
func NewIssuer(config IssuerConfig) *Issuer {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Issuer{config: config}
}

// IssueTicket issues a ticket. The error is a twirp.Error. Issuing a ticket runs
// no submission, so the sender may ask another instance after any error.
func (i *Issuer) IssueTicket(_ context.Context, request *peerpb.IssueTicketRequest) (*peerpb.IssueTicketReply, error) {
	token, expiresIn, err := i.config.Ledger.Issue(request.Team, request.Service, request.Key)
	var refusal *ticket.Error
	switch {
	case errors.As(err, &refusal):
		return nil, twirp.NewError(twirp.Unavailable, refusal.Error())
	case err != nil:
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.IssueTicketReply{
		Sender:      i.config.Sender(),
		Ticket:      token,
		ExpiresInMs: expiresIn.Milliseconds(),
	}, nil
}

// Redeem runs the submission of a ticket, or returns the stored outcome when an
// earlier message has redeemed the ticket. The error is always nil: the reply
// states every outcome, also a refusal.
func (i *Issuer) Redeem(ctx context.Context, request *peerpb.RedeemRequest) (*peerpb.RedeemReply, error) {
	ctx = telemetry.WithRequestID(ctx, request.RequestId)
	redemption, err := i.config.Ledger.Redeem(request.Ticket, request.Team, request.Service, request.Key, request.Payload)
	if err != nil {
		return i.ticketRefusedReply(err), nil
	}
	timeout := time.Duration(request.TimeoutMs) * time.Millisecond
	if redemption.First {
		i.runSubmission(ctx, timeout, redemption, request)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := redemption.Wait(ctx)
	if err != nil {
		return i.stillRunningReply(), nil
	}
	return i.resultReply(result, !redemption.First), nil
}

// runSubmission runs the submission and stores its outcome. It ignores the
// cancellation of ctx: if the entry fails, a message that the caller sends
// through another entry still finds the stored outcome.
func (i *Issuer) runSubmission(ctx context.Context, timeout time.Duration, redemption *ticket.Redemption, request *peerpb.RedeemRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	// After a panic this call stores an outcome; without one, later redemptions
	// of the ticket would wait in vain until their deadlines, every time.
	defer redemption.Complete(unknownResult("the run ended without an outcome"))
	r := &execution{issuer: i, request: request, operationID: redemption.ID(), arrival: i.config.Now(), timeout: timeout}
	redemption.Complete(r.execute(ctx))
}

func (i *Issuer) ticketRefusedReply(err error) *peerpb.RedeemReply {
	reply := &peerpb.RedeemReply{Sender: i.config.Sender(), Run: peerpb.RunState_RUN_STATE_NOT_RUN}
	var refusal *ticket.Error
	if !errors.As(err, &refusal) {
		reply.EarlierUnknown = true
		reply.Detail = err.Error()
		return reply
	}
	encodeTicketKind(reply, refusal)
	return reply
}

func (i *Issuer) stillRunningReply() *peerpb.RedeemReply {
	return &peerpb.RedeemReply{
		Sender:         i.config.Sender(),
		Run:            peerpb.RunState_RUN_STATE_UNKNOWN,
		Status:         peerpb.ResultStatus_DEADLINE,
		Detail:         "an earlier attempt is still running",
		EarlierUnknown: true,
	}
}

func (i *Issuer) resultReply(result ticket.Result, replayed bool) *peerpb.RedeemReply {
	detail := result.Detail
	if result.PayloadDropped {
		detail = "the stored result is no longer available"
	}
	return &peerpb.RedeemReply{
		Sender:   i.config.Sender(),
		Run:      result.Run,
		Result:   result.Payload,
		Replayed: replayed,
		Status:   result.Status,
		Detail:   detail,
	}
}
