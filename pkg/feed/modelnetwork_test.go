package feed

import (
	"context"
	"fmt"
	"time"
)

// modelLink is the store as one instance reaches it.
type modelLink struct{ i *modelInstance }

func (l modelLink) refused() bool { return l.i.cut || l.i.m.store.down }

func (l modelLink) Read(context.Context) (Batch, error) {
	m := l.i.m
	var batch Batch
	for after, more := "", true; more; {
		if l.refused() {
			return Batch{}, errUnavailable
		}
		var page []Item
		page, more = m.store.page(after)
		if after == "" {
			batch.Position = m.store.position()
		} else if batch.Position.Era != m.store.era() {
			return Batch{}, errUnavailable
		}
		batch.Items = append(batch.Items, page...)
		if len(page) > 0 {
			after = page[len(page)-1].Key
		}
		if more {
			m.interleave(maxReplyDelay)
		}
	}
	m.note("read of %d from the store at %v: %d items", l.i.id, batch.Position, len(batch.Items))
	return batch, m.deliver(m.now, readTimeout)
}

func (l modelLink) ReadTable(context.Context) (Batch, error) {
	m := l.i.m
	if l.refused() {
		return Batch{}, errUnavailable
	}
	b := Batch{Position: m.store.position()}
	if item, ok := m.store.at(m.store.era(), m.store.revision())["table"]; ok {
		b.Items = []Item{item}
	}
	return b, m.deliver(m.now, storeConfirmTimeout)
}

func (l modelLink) Watch(_ context.Context, after Position, wait time.Duration) (Batch, error) {
	m := l.i.m
	m.hold(l.i, wait, func() bool { return m.store.revision() != after.Revision })
	if l.refused() {
		return Batch{}, errUnavailable
	}
	if after.Revision < m.store.truncated || after.Revision > m.store.revision() {
		return Batch{}, &HistoryGoneError{Era: m.store.era()}
	}
	b := Batch{Position: m.store.position(), Items: append([]Item(nil), m.store.history()[after.Revision:]...)}
	m.note("watch of %d after %v: %d changes up to %v", l.i.id, after, len(b.Items), b.Position)
	return b, m.deliver(m.now, watchGrace)
}

// modelPeer is an instance as another one reaches it.
type modelPeer struct{ from, to *modelInstance }

func (p modelPeer) ID() string { return fmt.Sprint(p.to.id) }

func (p modelPeer) Read(context.Context) (Batch, error) {
	m := p.from.m
	m.interleave(maxReplyDelay)
	b, ok := p.to.f.AllItems()
	if !ok {
		return Batch{}, errUnavailable
	}
	m.note("read of %d from %d at %v, age %v", p.from.id, p.to.id, b.Position, b.Age)
	return b, m.deliver(m.now, readTimeout)
}

func (p modelPeer) Watch(_ context.Context, after Position, wait time.Duration) (Batch, error) {
	m := p.from.m
	m.hold(p.from, wait, func() bool {
		b, err := p.to.f.changesNow(after)
		return err != nil || len(b.Items) > 0 || b.Age > maxPeerViewAge
	})
	b, err := p.to.f.changesNow(after)
	if err != nil {
		m.note("watch of %d from %d: %v", p.from.id, p.to.id, err)
		return Batch{}, err
	}
	m.note("watch of %d from %d after %v: %d changes up to %v, age %v", p.from.id, p.to.id, after, len(b.Items), b.Position, b.Age)
	return b, m.deliver(m.now, watchGrace)
}

func (p modelPeer) ConfirmTable(ctx context.Context, version int64) (TableReply, error) {
	return p.to.f.ConfirmTable(ctx, version), p.from.m.deliver(p.from.m.now, peerConfirmTimeout)
}

// modelSources makes all instances follow the model's reader, and the one after it when that
// fails.
type modelSources struct{ i *modelInstance }

func (s modelSources) peer(offset int) PeerSource {
	m := s.i.m
	to := m.instances[(m.reader+offset)%len(m.instances)]
	if to.id == s.i.id {
		return nil
	}
	return modelPeer{s.i, to}
}

func (s modelSources) Reader() PeerSource { return s.peer(0) }

func (s modelSources) Standby(failed int) PeerSource {
	if failed > 0 {
		return nil
	}
	return s.peer(1)
}

func (s modelSources) StoreCallers() int { return len(s.i.m.instances) }

func (s modelSources) Any() PeerSource {
	return s.peer(s.i.m.draw("any", len(s.i.m.instances)))
}

// changesNow is ChangesAfter without a wait.
func (f *Follower) changesNow(after Position) (Batch, error) {
	b, confirmed, _, err := f.cache.changesAfter(after)
	b.Age = f.ageForPeers(confirmed, f.storeLost)
	return b, err
}
