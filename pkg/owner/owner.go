// Package owner is the role of an instance towards the backend servers that it
// owns by rendezvous hashing: it queues attempts by priority, calls the backend
// servers within their connection quota and streams results to the entry
// instance.
package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// Control is what the owner needs of the control plane.
type Control interface {
	// EnsureFresh confirms the view when it is too old; stale means that
	// nobody could confirm it.
	EnsureFresh(ctx context.Context) (stale bool)
	// Sender identifies this instance in messages.
	Sender() *peerpb.Sender
	// AddNotice spreads an observation to the other instances.
	AddNotice(notice *peerpb.Notice)
}

// Config holds the parts that an Owner uses.
type Config struct {
	SelfID  string
	View    *membership.View
	Control Control
	Guard   *crashguard.Guard
	Backend backend.Options // Connections is set per backend server
	// DirectInstances is the number of instances that share each backend
	// server without owners, for the baseline of direct fan-out; 0 is off.
	DirectInstances int
	Logger          *slog.Logger
	Now             func() time.Time
}

// Owner serves search attempts on backend servers. It is safe for concurrent
// use.
type Owner struct {
	config   Config
	replicas *replicas
}

// New returns an owner without open connections.
func New(config Config) *Owner {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Owner{
		config: config,
		replicas: &replicas{
			view:    config.View,
			selfID:  config.SelfID,
			options: config.Backend,
			direct:  config.DirectInstances,
			now:     config.Now,
			byID:    make(map[string]*replica),
		},
	}
}

// Serve probes idle backend servers and evicts idle replicas until ctx ends,
// then closes all connections.
func (o *Owner) Serve(ctx context.Context) error {
	evict := time.NewTicker(replicaIdle / 2)
	defer evict.Stop()
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	defer o.replicas.closeAll()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-probe.C:
			o.probeIdle(ctx)
		case <-evict.C:
			o.replicas.evictIdle(o.config.Now())
		}
	}
}

// String names the service in the supervisor's logs.
func (o *Owner) String() string { return "owner" }

// observe reports the backend server's own drain signal.
func (o *Owner) observe(ctx context.Context, serverID string, draining bool, incarnation string) {
	config := o.config
	config.View.RecordServerReply(serverID, incarnation)
	if !draining || !config.View.RecordServerDrain(serverID, incarnation, config.Now()) {
		return
	}
	config.Logger.InfoContext(ctx, "backend server is draining", "backend_server", serverID)
	config.Control.AddNotice(&peerpb.Notice{
		Kind:        peerpb.Notice_BACKEND_SERVER_DRAINING,
		Subject:     serverID,
		Incarnation: incarnation,
		Observer:    config.SelfID,
	})
}
