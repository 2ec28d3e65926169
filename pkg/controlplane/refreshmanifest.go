package controlplane

import (
	"context"
	"time"
)

// manifestTimeout bounds the read of a manifest for which a request waits. The
// configuration service normally answers within milliseconds.
const manifestTimeout = 100 * time.Millisecond

// RefreshManifest reads the index manifest of a service from the configuration
// service and returns when the read or ctx has ended. Concurrent calls for the
// same manifest share one read. RefreshManifest is called when a backend server
// reports a snapshot that the held manifest does not list.
func (p *Plane) RefreshManifest(ctx context.Context, team, service string) {
	key := IndexKey(team, service)
	done := p.refreshes.DoChan(key, func() (any, error) {
		ctx, cancel := p.withTimeout(context.WithoutCancel(ctx), manifestTimeout)
		defer cancel()
		return nil, p.readDocument(ctx, key, 0)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
