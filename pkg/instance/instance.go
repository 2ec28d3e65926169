package instance

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sycamorelift/sycamorelift/pkg/controlplane"
	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/entry"
	"github.com/sycamorelift/sycamorelift/pkg/lifecycle"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/owner"
	"github.com/sycamorelift/sycamorelift/pkg/peer"
	"github.com/sycamorelift/sycamorelift/pkg/selection"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
	"github.com/sycamorelift/sycamorelift/pkg/submission"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
	"github.com/thejerf/suture/v4"
	"go.opentelemetry.io/otel/trace"
)

// Instance is one running process of the system. Its parts are set by New and
// not changed afterwards.
type Instance struct {
	settings    *settings.Settings
	options     Options
	incarnation string
	self        membership.Instance
	logger      *slog.Logger
	registry    *telemetry.Registry
	provider    trace.TracerProvider
	stopTraces  func(context.Context) error

	view      *membership.View
	store     *controlplane.Store
	plane     *controlplane.Plane
	peers     *peer.Client
	guard     *crashguard.Guard
	ledger    *ticket.Ledger
	owner     *owner.Owner
	entry     *entry.Entry
	issuer    *submission.Issuer
	lifecycle *lifecycle.Lifecycle

	supervisor *suture.Supervisor
	servers    []*listener
	stopOnce   sync.Once
	cancel     context.CancelFunc
	finished   <-chan error
}

// New builds an instance. It opens no connection and no listener.
func New(ctx context.Context, s *settings.Settings, options Options) (*Instance, error) {
	i := &Instance{
		settings:    s,
		options:     options,
		incarnation: uuid.NewString(),
		self: membership.Instance{
			ID: s.Instance.ID, Region: s.Instance.Region, Zone: s.Instance.Zone,
			Address: s.Listen.Peer, State: membership.StateLive,
		},
	}
	steps := []func(context.Context) error{i.buildTelemetry, i.buildControl, i.buildRoles, i.buildServers}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return i, nil
}

func (i *Instance) buildTelemetry(ctx context.Context) error {
	logger, err := telemetry.NewLogger(orStderr(i.options.LogOutput), telemetry.LogOptions{
		Format: telemetry.LogFormat(i.settings.Log.Format), Level: i.settings.Log.Level.String(), InstanceID: i.self.ID,
	})
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	i.logger = logger
	i.registry = telemetry.NewRegistry(i.self.ID)
	if i.options.TracerProvider != nil {
		i.provider = i.options.TracerProvider
		i.stopTraces = func(context.Context) error { return nil }
		return nil
	}
	traces := i.settings.Traces
	i.provider, i.stopTraces, err = telemetry.NewTracerProvider(ctx, telemetry.TracingOptions{
		Exporter: telemetry.Exporter(traces.Exporter), Endpoint: traces.Endpoint, File: traces.File,
		InstanceID: i.self.ID, Zone: i.self.Zone, SampleFraction: traces.Sample,
	})
	return eris.Wrap(err, "set up traces")
}

func (i *Instance) buildControl(context.Context) error {
	peerTLS, err := i.clientTLS(i.settings.TLS.Peer)
	if err != nil {
		return eris.Wrap(err, "TLS towards instances")
	}
	i.peers = peer.NewClient(peerTLS)
	i.view = membership.NewView(i.self.ID, i.self.Zone)
	i.store = controlplane.NewStore(verifier(i.settings.Trust), time.Now, i.logger)
	i.plane = controlplane.New(controlplane.Config{
		Self:        i.self,
		Incarnation: i.incarnation,
		Store:       i.store,
		View:        i.view,
		Service:     newConfigService(i.settings),
		Peers:       i.peers,
		Seeds:       i.seeds(),
		Now:         time.Now,
		Rand:        i.random(1),
		Logger:      i.logger,
		Count:       (&metrics{registry: i.registry}).Count,
		Freshness:   i.settings.Freshness,
	})
	return nil
}

func (i *Instance) buildRoles(context.Context) error {
	backendTLS, err := i.clientTLS(i.settings.TLS.Backend)
	if err != nil {
		return eris.Wrap(err, "TLS towards backend servers")
	}
	i.guard = crashguard.New()
	i.ledger = ticket.NewLedger(i.self.ID, i.incarnation, randomSource, time.Now)
	i.owner = owner.New(owner.Config{
		SelfID:          i.self.ID,
		View:            i.view,
		Control:         i.plane,
		Guard:           i.guard,
		Backend:         backendOptions(i.self.Zone, backendTLS, i.logger, i.tracer()),
		DirectInstances: i.directInstances(),
		Logger:          i.logger,
		Now:             time.Now,
	})
	i.issuer = submission.NewIssuer(submission.IssuerConfig{
		Ledger: i.ledger, BackendSlots: i.owner.BackendSlots(), Sender: i.plane.Sender, Now: time.Now, Logger: i.logger,
	})
	i.entry = entry.New(i.entryConfig())
	i.connectNotices()
	return nil
}

func (i *Instance) entryConfig() entry.Config {
	return entry.Config{
		Self:           i.self,
		View:           i.view,
		Control:        &controlView{Plane: i.plane, store: i.store},
		Owners:         &ownerClient{selfID: i.self.ID, local: i.owner, peers: i.peers},
		Selector:       selection.New(selection.Config{}, i.random(2)),
		Guard:          i.guard,
		KnownSnapshots: snapshot.NewKnownSnapshots(),
		Submissions: submission.NewRouter(submission.RouterConfig{
			Self: i.self, Local: i.issuer, View: i.view, Control: i.plane, Peers: i.peers,
			Now: time.Now, NotSent: submission.DialFailed,
		}),
		Metrics:         &metrics{registry: i.registry},
		Tracer:          i.tracer(),
		Logger:          i.logger,
		Now:             time.Now,
		MaxRequestBytes: i.settings.Limits.MaxRequestBytes,
		Options:         i.options.Entry,
	}
}

func (i *Instance) tracer() trace.Tracer { return telemetry.NewHTTPTracing(i.provider).Tracer() }

func (i *Instance) directInstances() int {
	if !i.options.Entry.DirectFanOut {
		return 0
	}
	return max(1, i.options.DirectInstances)
}

func (i *Instance) clientTLS(files settings.TLSFiles) (*tls.Config, error) {
	if files == (settings.TLSFiles{}) {
		return nil, nil
	}
	return files.ClientConfig()
}

// seeds are instances that a starting instance may ask while the configuration
// service is down.
func (i *Instance) seeds() []membership.Instance {
	var seeds []membership.Instance
	for _, address := range i.settings.Seeds {
		seeds = append(seeds, membership.Instance{ID: "seed-" + address, Address: address, State: membership.StateLive})
	}
	return seeds
}

// random returns a generator for one part; parts differ by stream.
func (i *Instance) random(stream uint64) *rand.Rand {
	seed := i.options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, stream))
}
