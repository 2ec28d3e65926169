package controlplane

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

const (
	// fetchPoll is the pause of the fetch task while a document is wanted.
	fetchPoll = 50 * time.Millisecond
	// obtainPoll is the interval at which an exchange that waits for the fetch of
	// another task looks whether it may fetch itself.
	obtainPoll = 20 * time.Millisecond
	// obtainAttempts bounds the fetches that one exchange waits for.
	obtainAttempts = 3
)

// fetchStep fetches every wanted document that is due.
func (p *Plane) fetchStep(ctx context.Context) time.Duration {
	p.mu.Lock()
	p.wanted.prune(p.store.Wants, p.now())
	keys := p.wanted.keys()
	p.mu.Unlock()
	if len(keys) == 0 {
		return idlePause
	}
	for _, key := range keys {
		p.fetchKey(ctx, key)
	}
	return fetchPoll
}

// obtain fetches the wanted ones of versions, or waits for the fetches of others.
// It reports whether none is wanted any more.
func (p *Plane) obtain(ctx context.Context, versions []Version) bool {
	ctx, cancel := p.withTimeout(ctx, fetchTimeout)
	defer cancel()
	for _, v := range versions {
		if !p.obtainOne(ctx, v) {
			return false
		}
	}
	return true
}

func (p *Plane) obtainOne(ctx context.Context, v Version) bool {
	for attempts := 0; attempts < obtainAttempts; {
		changed := p.store.Changed()
		if v.Digest == "" || !p.store.Wants(v) {
			return true
		}
		if p.fetchKey(ctx, v.Key) {
			attempts++
			continue
		}
		if !p.isFetching(v.Key) || !await(ctx, changed, obtainPoll) {
			break
		}
	}
	return !p.store.Wants(v)
}

// await waits for changed, at most for d; it reports false when ctx ended.
func await(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (p *Plane) isFetching(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wanted.isBusy(key)
}

// fetchKey fetches a wanted document when a fetch of it is due. It reports
// whether one was made.
func (p *Plane) fetchKey(ctx context.Context, key string) bool {
	p.mu.Lock()
	order, due := p.wanted.claim(key, p.now())
	p.mu.Unlock()
	if !due {
		return false
	}
	err := p.fetch(ctx, order)
	if err != nil {
		p.log.Debug("control document not fetched", "key", key, "source", order.source, "error", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && order.source == "" {
		p.policy.soon(p.now())
	}
	p.wanted.done(order, !p.store.Wants(order.version), p.now())
	return true
}

// fetch transfers one document and offers it to the store.
func (p *Plane) fetch(ctx context.Context, order fetchOrder) error {
	source, ok := p.sourceOf(order)
	if !ok {
		return &UnavailableError{What: "document " + order.version.Key}
	}
	bounded, cancel := p.withTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := p.peers.FetchDocument(bounded, source, &peerpb.FetchDocumentRequest{
		Sender: p.Sender(),
		Key:    order.version.Key,
	})
	p.reportCall(ctx, source, err)
	if err != nil {
		return err
	}
	got := versionOf(reply.GetVersion())
	if got.Digest == "" {
		return &UnavailableError{What: "document " + order.version.Key + " is not held by " + source.ID}
	}
	_, err = p.store.Accept(Document{
		Key:      order.version.Key,
		Revision: got.Revision,
		Digest:   got.Digest,
		Data:     reply.GetData(),
	})
	return err
}

// sourceOf returns the instance to fetch from: the one that announced the
// document when it is listed, otherwise any other one.
func (p *Plane) sourceOf(order fetchOrder) (membership.Instance, bool) {
	if source, ok := p.view.Instance(order.source); ok {
		return source, true
	}
	for _, seed := range p.seeds {
		if order.source != "" && seed.ID == order.source {
			return seed, true
		}
	}
	partners := p.partners(1)
	if len(partners) == 0 {
		return membership.Instance{}, false
	}
	return partners[0], true
}

// FetchDocument returns a held document to another instance. The version is
// empty when it holds none.
func (p *Plane) FetchDocument(_ context.Context, request *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	p.ObserveSender(request.GetSender())
	document, ok := p.store.Get(request.GetKey())
	if !ok {
		return &peerpb.FetchDocumentReply{Sender: p.Sender()}, nil
	}
	return &peerpb.FetchDocumentReply{
		Sender:  p.Sender(),
		Version: document.Version().message(),
		Data:    document.Data,
	}, nil
}
