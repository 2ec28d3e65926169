package controlplane

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// ConfigService is the client of the configuration service. Watch waits up to wait for
// a revision above after and returns the keys that have changed since then.
type ConfigService interface {
	Get(ctx context.Context, key string) (configclient.Document, error)
	Watch(ctx context.Context, after int64, wait time.Duration) (configclient.WatchReply, error)
}

// PeerClient sends requests to other instances.
type PeerClient interface {
	Exchange(ctx context.Context, to membership.Instance, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
	FetchDocument(ctx context.Context, to membership.Instance, m *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error)
}

// Config is the input of New. All fields but Seeds, Logger, Count,
// Freshness and ExchangeInterval are required.
type Config struct {
	Self        membership.Instance
	Incarnation string
	Store       *Store
	View        *membership.View
	Service     ConfigService
	Peers       PeerClient
	// Seeds are the instances that this instance asks first when it starts. They
	// are needed when the service is down and no list of members is known.
	Seeds []membership.Instance
	// Now has to advance while the process or its machine is paused. Otherwise
	// EnsureFresh does not notice the pause.
	Now    func() time.Time
	Rand   *rand.Rand // not safe for concurrent use; only the plane may use it after New
	Logger *slog.Logger
	// Count adds n to the named counter of the instance's metrics.
	Count func(name string, n int64)
	// Freshness is the age of the last confirmation of the documents above which
	// EnsureFresh refreshes them. 0 means FreshnessBound.
	Freshness time.Duration
	// ExchangeInterval is the interval between periodic exchanges with peers. 0
	// means 1 s.
	ExchangeInterval time.Duration
}
