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
	// requests goes unnoticed while the platform's list lags or cannot be read.
	// Without probes the first request after the drain finds out.
	probeInterval = time.Second
	// probesAtOnce bounds the probes that wait for servers that do not answer.
	probesAtOnce = 16
)

// probeIdle reads the drain signal of the backend servers that this instance
// owns first and has sent nothing to within probeInterval. Requests carry the
// signal for the others.
func (o *Owner) probeIdle(ctx context.Context) {
	now := o.config.Now()
	var group errgroup.Group
	group.SetLimit(probesAtOnce)
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

// probe asks one backend server. One that does not answer says nothing about a
// drain; requests find out what is wrong with it.
func (o *Owner) probe(ctx context.Context, server membership.BackendServer) {
	state, err := backend.Probe(ctx, server, o.config.Backend)
	if err != nil {
		o.config.Logger.DebugContext(ctx, "probe failed", "backend_server", server.ID, "error", err)
		return
	}
	o.observe(ctx, server.ID, state.Draining, state.Incarnation)
}
