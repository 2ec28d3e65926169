package submission

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// hashOwner is the rejected alternative to tickets: the owner of an idempotency
// key by rendezvous hashing remembers the key. It is the baseline that shows
// that the tests find duplicate executions.
type hashOwner struct {
	Tickets
	p    *process
	seen map[string]bool
}

func hashOwners(p *process) {
	tickets(p) // for the router that issues tokens, used as idempotency keys
	h := &hashOwner{Tickets: p.issuer, p: p, seen: map[string]bool{}}
	p.issuer = h
	p.submit = h.submit
}

func (h *hashOwner) submit(ctx context.Context, request Request) (Answer, error) {
	owner := h.p.Owners("b0", h.p.router.config.Now())[0]
	reply, err := h.p.Peer(owner).Redeem(ctx, &peerpb.RedeemRequest{
		RequestId: request.RequestID, Ticket: request.Token, Payload: request.Payload, TimeoutMs: timeout(ctx).Milliseconds()})
	if err != nil {
		return Answer{}, &Refusal{Reason: ReasonNoAnswer, EarlierUnknown: true}
	}
	return answer(reply, owner.ID)
}

func (h *hashOwner) Redeem(ctx context.Context, request *peerpb.RedeemRequest) (*peerpb.RedeemReply, error) {
	if h.seen[request.Ticket] {
		return &peerpb.RedeemReply{}, nil
	}
	h.seen[request.Ticket] = true
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state := &run{}
	result, err := h.p.Submit(ctx, Call{RequestID: request.RequestId, Payload: request.Payload}, &state.state)
	if err != nil {
		return &peerpb.RedeemReply{}, nil
	}
	return &peerpb.RedeemReply{Run: peerpb.RunState_RUN_STATE_RUN, Result: result}, nil
}
