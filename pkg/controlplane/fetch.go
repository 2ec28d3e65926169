package controlplane

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

const (
	// fetchPoll is the pause of the fetch task while documents remain to be fetched.
	fetchPoll = 50 * time.Millisecond
	// fetchAwaitPoll is the interval at which an exchange that waits for a fetch begun
	// by another task checks whether it may start a fetch of its own.
	fetchAwaitPoll = 20 * time.Millisecond
	// maxFetchAttempts bounds the fetches that one exchange starts for a document.
	maxFetchAttempts = 3
)

// fetchStep fetches every wanted document whose next fetch is due.
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

// fetchOrAwait fetches those of the versions that the store wants, or waits for fetches
// that other tasks have begun. It reports whether the store wants none of the
// versions any more.
func (p *Plane) fetchOrAwait(ctx context.Context, versions []Version) bool {
	ctx, cancel := p.withTimeout(ctx, fetchTimeout)
	defer cancel()
	for _, v := range versions {
		if !p.fetchOrAwaitOne(ctx, v) {
			return false
		}
	}
	return true
}

// fetchOrAwaitOne does the work of fetchOrAwait for one version.
func (p *Plane) fetchOrAwaitOne(ctx context.Context, v Version) bool {
	for attempts := 0; attempts < maxFetchAttempts; {
		changed := p.store.Changed()
		if v.Digest == "" || !p.store.Wants(v) {
			return true
		}
		if p.fetchKey(ctx, v.Key) {
			attempts++
			continue
		}
		if !p.isFetching(v.Key) || !await(ctx, changed, fetchAwaitPoll) {
			break
		}
	}
	return !p.store.Wants(v)
}

// await waits until changed is closed or d has passed. It returns false when ctx
// ends first.
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
	return p.wanted.isFetching(key)
}

// fetchKey fetches the wanted document of key if a fetch is due, and reports
// whether it made a fetch.
func (p *Plane) fetchKey(ctx context.Context, key string) bool {
	p.mu.Lock()
	order, due := p.wanted.startFetch(key, p.now())
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
		p.policy.readSoon(p.now())
	}
	p.wanted.finishFetch(order, !p.store.Wants(order.version), p.now())
	return true
}

// fetch requests one document from another instance and offers it to the store.
func (p *Plane) fetch(ctx context.Context, order fetchTarget) error {
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
	p.recordPeerCall(ctx, source, err)
	if err != nil {
		return err
	}
	got := versionFromProto(reply.GetVersion())
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

// sourceOf returns the instance to fetch from: the announcing instance if it is
// a listed member or a seed, otherwise a random partner.
func (p *Plane) sourceOf(order fetchTarget) (membership.Instance, bool) {
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

// FetchDocument answers another instance's request for a document. The reply has
// no version when this instance does not hold the document.
func (p *Plane) FetchDocument(_ context.Context, request *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	p.ObserveSender(request.GetSender())
	document, ok := p.store.Get(request.GetKey())
	if !ok {
		return &peerpb.FetchDocumentReply{Sender: p.Sender()}, nil
	}
	return &peerpb.FetchDocumentReply{
		Sender:  p.Sender(),
		Version: document.Version().toProto(),
		Data:    document.Data,
	}, nil
}
