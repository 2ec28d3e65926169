package controlplane

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// refreshPeers is the number of peers that a refresh and a start ask. Several
// zones keep one peer that was paused itself from confirming old documents.
const refreshPeers = 5

// maxRefreshPeers bounds the peers that one refresh asks in all.
const maxRefreshPeers = 4 * refreshPeers

// EnsureFresh returns at once when the documents were confirmed within
// FreshnessBound. Otherwise it refreshes them from the service and several
// peers. stale reports that nobody answered in time, so that newer documents
// may be in effect elsewhere.
func (p *Plane) EnsureFresh(ctx context.Context) (stale bool) {
	now := p.now()
	if p.fresh.isFresh(now) {
		return false
	}
	if p.fresh.isBackingOff(now) {
		return p.recordDecision(true)
	}
	select {
	case result := <-p.refreshes.DoChan("", p.refreshShared):
		return p.recordDecision(!result.Val.(bool))
	case <-ctx.Done():
		return true
	}
}

// refreshShared runs one refresh for all decisions that wait for it.
func (p *Plane) refreshShared() (any, error) {
	if p.fresh.isFresh(p.now()) {
		return true, nil
	}
	ctx, cancel := p.withTimeout(context.Background(), refreshTimeout)
	defer cancel()
	ok := p.refresh(ctx)
	if !ok {
		p.fresh.fail(p.now())
	}
	return ok, nil
}

// refresh asks the service and several peers at once. Most of them have to
// confirm the documents, because a single answer may come from a stale service
// or from a peer that was paused itself. After refreshReplyWait those that have not
// answered count as unreachable, and one confirmation suffices; without any, all
// further peers are asked, since the first ones may all be on the other side of
// a partition.
func (p *Plane) refresh(ctx context.Context) bool {
	partners := p.partnersAcrossZones(maxRefreshPeers)
	first := partners[:min(refreshPeers, len(partners))]
	round := newRefreshRound(len(partners) + 1)
	round.ask(p.spawn, func() bool {
		_, err := p.readService(ctx, 0)
		return err == nil
	})
	p.askPartners(ctx, round, first)
	round.collect(ctx, refreshReplyWait, round.majority())
	if round.confirmed > 0 {
		return true
	}
	p.askPartners(ctx, round, partners[len(first):])
	round.collect(ctx, refreshTimeout, 1)
	return round.confirmed > 0
}

func (p *Plane) askPartners(ctx context.Context, round *refreshRound, partners []membership.Instance) {
	for _, partner := range partners {
		round.ask(p.spawn, func() bool { return p.exchangeWith(ctx, partner) })
	}
}
