package relay

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/feed"
	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
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

// serversToWarm returns the servers that this instance sends first attempts to. An instance
// that hands its shards over asks a shard's servers only in place of the other instance. Its
// connections would count against the number that a server accepts and be used rarely.
func serversToWarm(table *routing.Table, servers []*directory.Server, handsShardsOver bool) []*directory.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(server *directory.Server) bool {
		_, known := table.Service(server.Service)
		return !known || handsShardsOver && !table.HasSingleRoute(server.Service)
	})
}

// warm makes one pass over the servers. Errors are ignored: the next pass tries an
// unreachable server again, and a request that meets it reports it.
func (w *warmer) warm(ctx context.Context) {
	table := w.follower.Table()
	if table == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxParallelDials)
	for _, server := range serversToWarm(table, w.directory.ServersInZone(w.zone), w.engine.HandsShardsOver()) {
		service, _ := table.Service(server.Service)
		connections := w.engine.Connections(service.MaxConnections, server)
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return w.sender.Warm(ctx, server, connections)
		})
	}
	_ = group.Wait() // errors are ignored, see above
}
