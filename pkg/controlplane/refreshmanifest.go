package controlplane

import (
	"context"
	"time"
)

// manifestTimeout bounds a read of the configuration service on behalf of a
// request; the service answers in milliseconds.
const manifestTimeout = 100 * time.Millisecond

// RefreshManifest reads the index manifest of a service from the configuration
// service. Calls at the same time share one read. It is for requests that meet
// backend servers with snapshots that the held manifest does not list.
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
