// Package owner implements the owner role of an instance. Rendezvous hashing
// assigns backend servers to the instance; it queues attempts for them by
// priority, calls them within its connection quota and streams the results to
// the entry instance.
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

// Control is the part of the control plane that an Owner uses.
type Control interface {
	// EnsureFresh has the view confirmed when it is too old; stale is true when
	// no source could confirm it.
	EnsureFresh(ctx context.Context) (stale bool)
	// Sender identifies this instance in messages.
	Sender() *peerpb.Sender
	// AddNotice spreads an observation to the other instances.
	AddNotice(notice *peerpb.Notice)
}

// Config holds the settings and dependencies of an Owner.
type Config struct {
	SelfID  string
	View    *membership.View
	Control Control
	Guard   *crashguard.Guard
	Backend backend.Options // Connections is set per backend server
	// DirectInstances is the number of instances that share the connections of
	// each backend server equally, regardless of ownership. It is set for the
	// baseline of direct fan-out; 0 applies the quotas of the owners.
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
			view:            config.View,
			selfID:          config.SelfID,
			options:         config.Backend,
			directInstances: config.DirectInstances,
			now:             config.Now,
			byID:            make(map[string]*replica),
		},
	}
}

// Serve probes idle backend servers and evicts idle replicas until ctx ends,
// then closes all connections.
func (o *Owner) Serve(ctx context.Context) error {
	evict := time.NewTicker(replicaIdleTimeout / 2)
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

// recordServerState records the incarnation and the drain state that a backend
// server has sent. A new drain is logged and reported to the other instances.
func (o *Owner) recordServerState(ctx context.Context, serverID string, draining bool, incarnation string) {
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
