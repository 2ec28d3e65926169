package relay

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/feed"
	"github.com/sycamorelift/sycamorelift/pkg/forward"
)

const (
	// warmInterval is how often the warmer looks for servers without a connection. New
	// shards are listed some seconds before a table names them.
	warmInterval = 700 * time.Millisecond
	// maxParallelDials bounds how many connections the warmer opens at the same time.
	maxParallelDials = 8
	// dialTimeout bounds the opening of one connection.
	dialTimeout = 300 * time.Millisecond
)

// warmer opens connections to the backend servers of this availability zone
// before requests need them.
type warmer struct {
	zone      string
	directory *directory.Directory
	follower  *feed.Follower
	engine    *forward.Engine
	sender    *forward.PooledClient
}

// Serve implements suture.Service.
func (w *warmer) Serve(ctx context.Context) error {
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.warm(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String names the service in the supervisor's log.
func (w *warmer) String() string { return "connection warmer" }

// warm makes one pass over the servers. Errors are ignored: the next pass tries an
// unreachable server again, and a request that meets it reports it.
func (w *warmer) warm(ctx context.Context) {
	table := w.follower.Table()
	if table == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxParallelDials)
	for _, server := range w.directory.ServersInZone(w.zone) {
		service, ok := table.Service(server.Service)
		if !ok {
			continue
		}
		connections := w.engine.Connections(service.MaxConnections, server)
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return w.sender.Warm(ctx, server, connections)
		})
	}
	_ = group.Wait() // errors are ignored, see above
}
