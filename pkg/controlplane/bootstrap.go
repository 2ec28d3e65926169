package controlplane

import (
	"context"
	"time"
)

// Bootstrap fetches the control documents of a starting instance from peers and
// the configuration service. It retries with backoff until the instance holds a
// bundle and a list of members, or until ctx ends.
func (p *Plane) Bootstrap(ctx context.Context) error {
	for failures := 1; ; failures++ {
		delay, err := p.bootstrapStep(ctx, failures)
		if err == nil {
			return nil
		}
		if !await(ctx, nil, delay) {
			return err
		}
	}
}

// bootstrapStep makes one bootstrap attempt. When the attempt fails, it returns
// the error and the pause before the next attempt; failures is the number of
// consecutive failures including this attempt.
func (p *Plane) bootstrapStep(ctx context.Context, failures int) (retry time.Duration, err error) {
	err = p.bootstrapOnce(ctx)
	if err == nil {
		return 0, nil
	}
	p.mu.Lock()
	retry = readBackoff.Delay(failures, p.random)
	p.mu.Unlock()
	p.log.Warn("control documents incomplete at start", "error", err, "retry_ms", retry.Milliseconds())
	return retry, err
}

// bootstrapOnce gets the list of members from the seeds or the configuration
// service, exchanges documents with peers in different zones, and last reads
// from the service only the documents that are newer there. Asking peers first
// keeps the load on the service low when many instances start at once.
func (p *Plane) bootstrapOnce(ctx context.Context) error {
	confirmed := p.exchangeAll(ctx, p.seeds[:min(len(p.seeds), refreshPeers)])
	if _, ok := p.store.Get(KeyMembers); !ok {
		_ = p.readDocument(ctx, KeyMembers, 0) // logged; readChanges reports it again
	}
	confirmed += p.exchangeAll(ctx, p.partnersAcrossZones(refreshPeers))
	_, err := p.readChanges(ctx, 0)
	if err != nil {
		p.log.Warn("configuration service not read at start", "error", err)
	}
	if err != nil && confirmed == 0 {
		return &UnavailableError{What: "nobody answered"}
	}
	for _, key := range []string{KeyBundle, KeyMembers} {
		if _, ok := p.store.Get(key); ok {
			continue
		}
		if rejected := p.store.latestRejection(key); rejected != nil {
			return rejected
		}
		return &UnavailableError{What: "no document " + key}
	}
	return nil
}
