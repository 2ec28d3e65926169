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

// ConfigService reads and watches the configuration service.
type ConfigService interface {
	Get(ctx context.Context, key string) (configclient.Document, error)
	Watch(ctx context.Context, after int64, wait time.Duration) (configclient.WatchReply, error)
}

// PeerClient calls other instances.
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
	// Seeds are instances that a starting instance asks when the service is
	// down, so that no list of members is known.
	Seeds []membership.Instance
	// Now has to advance while the process or its machine is paused, otherwise
	// the freshness gate does not notice the pause.
	Now    func() time.Time
	Rand   *rand.Rand // owned by the plane from then on
	Logger *slog.Logger
	// Count adds n to a counter of the instance's metrics.
	Count func(name string, n int64)
	// Freshness is the age of the last confirmation above which decisions wait
	// for a refresh, FreshnessBound when 0.
	Freshness time.Duration
	// ExchangeInterval is the interval of the periodic exchange, 1 s when 0.
	ExchangeInterval time.Duration
}
