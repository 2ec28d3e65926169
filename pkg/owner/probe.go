package owner

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"golang.org/x/sync/errgroup"
)

const (
	// probeInterval bounds how long the drain of a backend server without
	// requests stays undetected while the platform's list of servers lags or
	// cannot be read. Without probes, the first request after the start of the
	// drain would be the one that detects it.
	probeInterval = time.Second
	// maxConcurrentProbes bounds how many probes wait at the same time for backend
	// servers that do not answer.
	maxConcurrentProbes = 16
)

// probeIdle reads the drain state of each backend server of which this instance
// is the first owner and to which it has sent no request within probeInterval.
// For the others, the replies to requests carry the drain state.
func (o *Owner) probeIdle(ctx context.Context) {
	now := o.config.Now()
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, owned := range o.config.View.OwnedServers(now) {
		if owned.Rank == 1 && o.config.View.AcceptsRequests(owned.ID, now) && !o.replicas.isBusy(owned.ID, now) {
			group.Go(func() error {
				o.probe(ctx, owned.BackendServer)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// probe reads the drain state of one backend server. A failed probe changes
// nothing: it is no sign of a drain, and requests detect other failures.
func (o *Owner) probe(ctx context.Context, server membership.BackendServer) {
	state, err := backend.Probe(ctx, server, o.config.Backend)
	if err != nil {
		o.config.Logger.DebugContext(ctx, "probe failed", "backend_server", server.ID, "error", err)
		return
	}
	o.recordServerState(ctx, server.ID, state.Draining, state.Incarnation)
}
