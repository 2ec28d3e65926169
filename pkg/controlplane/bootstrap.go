package controlplane

import (
	"context"
	"time"
)

// Bootstrap learns the documents of a starting instance from the service and
// several peers, and returns when it holds a bundle and a list of members. It
// repeats until then or until ctx ends.
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

// bootstrapStep makes one attempt. It returns the pause before the next one
// when this is the given number of consecutive failures.
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

// bootstrapOnce learns the peers from the seeds or the service, asks peers in
// different zones, and then the service for what it holds higher. With this
// order a simultaneous start of many instances takes few reads of the service.
func (p *Plane) bootstrapOnce(ctx context.Context) error {
	confirmed := p.exchangeAll(ctx, p.seeds[:min(len(p.seeds), refreshPeers)])
	if _, ok := p.store.Get(KeyMembers); !ok {
		_ = p.readDocument(ctx, KeyMembers, 0) // logged; readService reports it again
	}
	confirmed += p.exchangeAll(ctx, p.partnersAcrossZones(refreshPeers))
	_, err := p.readService(ctx, 0)
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
		if rejected := p.store.rejection(key); rejected != nil {
			return rejected
		}
		return &UnavailableError{What: "no document " + key}
	}
	return nil
}
