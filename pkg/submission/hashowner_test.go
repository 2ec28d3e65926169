package submission

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// hashOwner implements the rejected alternative to tickets: rendezvous hashing
// assigns each idempotency key to an owner, which remembers the keys that it has
// seen. This scheme runs submissions twice when ownership changes, and thereby
// shows that the tests detect duplicate executions.
type hashOwner struct {
	TicketIssuer
	process *process
	seen    map[string]bool
}

func hashOwnerScheme(p *process) {
	ticketScheme(p) // sets up the router, whose tickets serve as idempotency keys
	h := &hashOwner{TicketIssuer: p.issuer, process: p, seen: map[string]bool{}}
	p.issuer = h
	p.submit = h.submit
}

func (h *hashOwner) submit(ctx context.Context, request Request) (Answer, error) {
	owner := h.process.Owners("b0", h.process.router.config.Now())[0]
	reply, err := h.process.Peer(owner).Redeem(ctx, &peerpb.RedeemRequest{
		RequestId: request.RequestID, Ticket: request.Token, Payload: request.Payload, TimeoutMs: issuerTimeout(ctx).Milliseconds()})
	if err != nil {
		return Answer{}, &Refusal{Reason: ReasonNoAnswer, EarlierUnknown: true}
	}
	return decodeReply(reply, owner.ID)
}

func (h *hashOwner) Redeem(ctx context.Context, request *peerpb.RedeemRequest) (*peerpb.RedeemReply, error) {
	if h.seen[request.Ticket] {
		return &peerpb.RedeemReply{}, nil
	}
	h.seen[request.Ticket] = true
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state := &execution{}
	result, err := h.process.Submit(ctx, Call{RequestID: request.RequestId, Payload: request.Payload}, &state.state)
	if err != nil {
		return &peerpb.RedeemReply{}, nil
	}
	return &peerpb.RedeemReply{Run: peerpb.RunState_RUN_STATE_RUN, Result: result}, nil
}
