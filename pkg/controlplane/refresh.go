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
	if p.fresh.isPausing(now) {
		return true
	}
	select {
	case result := <-p.refreshes.DoChan("", p.refreshShared):
		return !result.Val.(bool)
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

// refresh asks the service and several peers at once. When none of them answers
// it asks further peers, because the first ones may all be on the other side of
// a partition.
func (p *Plane) refresh(ctx context.Context) bool {
	partners := p.partnersAcrossZones(maxRefreshPeers)
	for len(partners) > refreshPeers && ctx.Err() == nil {
		if p.refreshFrom(ctx, partners[:refreshPeers]) {
			return true
		}
		partners = partners[refreshPeers:]
	}
	return p.refreshFrom(ctx, partners)
}

// refreshFrom ends when the service and all partners have answered or failed,
// when most of them have confirmed, or with ctx.
func (p *Plane) refreshFrom(ctx context.Context, partners []membership.Instance) bool {
	answers := make(chan bool, len(partners)+1)
	p.spawn(func() {
		_, err := p.readService(ctx, 0)
		answers <- err == nil
	})
	for _, partner := range partners {
		p.spawn(func() { answers <- p.exchangeWith(ctx, partner) })
	}
	return p.gather(ctx, answers, len(partners)+1)
}

// gather counts answers until they suffice. Any answer confirms the documents
// when ctx ends, but until then the others may still hold higher ones.
func (p *Plane) gather(ctx context.Context, answers <-chan bool, asked int) bool {
	confirmed := 0
	for range asked {
		select {
		case ok := <-answers:
			if ok {
				confirmed++
			}
		case <-ctx.Done():
			return confirmed > 0
		}
		if confirmed > asked/2 {
			return true
		}
	}
	return confirmed > 0
}
