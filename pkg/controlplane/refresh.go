package controlplane

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// refreshPeers is the number of peers that a refresh and a start ask at first.
// Peers of several zones are asked so that one peer that was itself paused cannot
// confirm old documents alone.
const refreshPeers = 5

// maxRefreshPeers bounds the number of peers that one refresh asks in total.
const maxRefreshPeers = 4 * refreshPeers

// EnsureFresh returns at once if the documents were confirmed within
// Config.Freshness. Otherwise it refreshes them from the configuration service and
// several peers. stale reports that nobody confirmed the documents in time, so
// newer documents may be in effect elsewhere. It is also true, without a refresh,
// shortly after a failed refresh.
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

// refresh asks the configuration service and several peers at once. A majority of
// them has to confirm the documents, because a single reply may come from a stale
// service or from a peer that was itself paused. After refreshReplyWait those that
// have not replied count as unreachable, and one confirmation suffices. If there
// is none, refresh asks all remaining partners, since the first ones may all be on
// the other side of a partition.
func (p *Plane) refresh(ctx context.Context) bool {
	partners := p.partnersAcrossZones(maxRefreshPeers)
	first := partners[:min(refreshPeers, len(partners))]
	round := newRefreshRound(len(partners) + 1)
	round.ask(p.spawn, func() bool {
		_, err := p.readChanges(ctx, 0)
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
