package controlplane

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

const (
	// defaultExchangeInterval confirms the documents twice per FreshnessBound.
	defaultExchangeInterval = 1 * time.Second
	// pushFanOut is the number of instances that a change is pushed to at once.
	pushFanOut = 3
	// exchangeTimeout bounds one exchange. Zones are several milliseconds apart,
	// so this covers a lost packet and its retransmission.
	exchangeTimeout = 250 * time.Millisecond
	// fetchTimeout bounds the transfer of one document of up to 1 MB.
	fetchTimeout = 1 * time.Second
	// confirmAttempts is the number of partners that a periodic exchange tries
	// until one of them answers.
	confirmAttempts = 3
)

// Plane is the control plane of one instance. It is safe for concurrent use.
type Plane struct {
	self        membership.Instance
	incarnation string
	store       *Store
	view        *membership.View
	service     ConfigService
	peers       PeerClient
	seeds       []membership.Instance
	now         func() time.Time
	log         *slog.Logger
	interval    time.Duration

	fresh     *freshness
	health    health
	count     func(name string, n int64)
	refreshes singleflight.Group
	draining  atomic.Bool
	pushDue   atomic.Bool
	tasks     []*task

	// Replaced by tests that step the plane on a virtual clock.
	spawn       func(func())
	withTimeout func(context.Context, time.Duration) (context.Context, context.CancelFunc)

	mu        sync.Mutex
	random    *rand.Rand             // guarded by mu
	wanted    *wanted                // guarded by mu
	notices   *noticeBuffer          // guarded by mu
	policy    *readPolicy            // guarded by mu
	reads     *readState             // guarded by mu
	listeners []func(*peerpb.Notice) // guarded by mu
}

// New returns the control plane of the instance config.Self.
func New(config Config) *Plane {
	p := &Plane{
		self:        config.Self,
		incarnation: config.Incarnation,
		store:       config.Store,
		view:        config.View,
		service:     config.Service,
		peers:       config.Peers,
		seeds:       config.Seeds,
		now:         config.Now,
		log:         orDiscard(config.Logger),
		interval:    config.ExchangeInterval,
		count:       config.Count,
		fresh:       newFreshness(config.Now(), config.Freshness),
		random:      config.Rand,
		wanted:      newWanted(),
		notices:     newNoticeBuffer(),
		policy:      &readPolicy{self: config.Self, random: config.Rand},
		reads:       newReadState(),
		spawn:       func(f func()) { go f() },
		withTimeout: context.WithTimeout,
	}
	if p.interval <= 0 {
		p.interval = defaultExchangeInterval
	}
	if p.count == nil {
		p.count = func(string, int64) {}
	}
	p.tasks = []*task{
		newTask("read", p.readStep),
		newTask("exchange", p.exchangeStep),
		newTask("push", p.pushStep),
		newTask("fetch", p.fetchStep),
	}
	p.store.OnAccept(p.accepted)
	return p
}

// accepted is called with the store's lock held.
func (p *Plane) accepted(document Document, parsed any) {
	if members, ok := parsed.(membership.Members); ok && document.Key == KeyMembers {
		p.view.Replace(members, document.Revision)
	}
	p.push()
}

// Sender returns the sender fields of a message of this instance.
func (p *Plane) Sender() *peerpb.Sender {
	bundle, _ := p.store.Get(KeyBundle)
	return &peerpb.Sender{
		InstanceId:    p.self.ID,
		Incarnation:   p.incarnation,
		BundleVersion: bundle.Revision,
		BundleDigest:  bundle.Digest,
		Draining:      p.draining.Load(),
	}
}

// ObserveSender takes over what the sender of a message states about itself: a
// higher bundle is fetched from it, a draining sender leaves the view.
func (p *Plane) ObserveSender(s *peerpb.Sender) {
	if s.GetInstanceId() == "" || s.GetInstanceId() == p.self.ID {
		return
	}
	p.view.RecordInstanceReply(s.GetInstanceId(), s.GetIncarnation())
	if s.GetDraining() {
		p.AddNotice(&peerpb.Notice{
			Kind:        peerpb.Notice_INSTANCE_DRAINING,
			Subject:     s.GetInstanceId(),
			Incarnation: s.GetIncarnation(),
			Observer:    p.self.ID,
		})
	}
	p.announce(bundleOf(s), s.GetInstanceId())
}

// announce records that source holds a version; it is fetched when wanted.
func (p *Plane) announce(v Version, source string) {
	if v.Digest == "" || !p.store.Wants(v) {
		return
	}
	p.mu.Lock()
	p.wanted.announce(v, source, p.now())
	p.mu.Unlock()
	p.tasks[taskFetch].wake()
}

// AwaitBundle waits until the held bundle is at least as high as the given one.
// The error is that of ctx.
func (p *Plane) AwaitBundle(ctx context.Context, version int64, digest string) error {
	target := Version{Key: KeyBundle, Revision: version, Digest: digest}
	for {
		changed := p.store.Changed()
		if bundle, ok := p.store.Get(KeyBundle); ok && bundle.Version().Compare(target) >= 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// BundleDocument returns the held bundle document.
func (p *Plane) BundleDocument() (Document, bool) {
	return p.store.Get(KeyBundle)
}

// Manifest returns the index manifest of a service. It must not be modified.
func (p *Plane) Manifest(team, service string) (*snapshot.Manifest, bool) {
	return p.store.Manifest(team, service)
}

// SetDraining makes every message state that this instance is leaving, and
// spreads a notice of it.
func (p *Plane) SetDraining() {
	p.draining.Store(true)
	p.AddNotice(&peerpb.Notice{
		Kind:        peerpb.Notice_INSTANCE_DRAINING,
		Subject:     p.self.ID,
		Incarnation: p.incarnation,
		Observer:    p.self.ID,
	})
}

// partners picks up to n instances to exchange with.
func (p *Plane) partners(n int) []membership.Instance {
	usable, listed := p.view.UsableInstances(p.now()), p.view.ListedInstances()
	p.mu.Lock()
	defer p.mu.Unlock()
	return pickPartners(p.self.ID, usable, listed, n, p.random)
}

func bundleOf(s *peerpb.Sender) Version {
	return Version{Key: KeyBundle, Revision: s.GetBundleVersion(), Digest: s.GetBundleDigest()}
}

// partnersAcrossZones picks up to n instances of as many zones as possible.
func (p *Plane) partnersAcrossZones(n int) []membership.Instance {
	usable, listed := p.view.UsableInstances(p.now()), p.view.ListedInstances()
	p.mu.Lock()
	defer p.mu.Unlock()
	return pickAcrossZones(p.self.ID, usable, listed, n, p.random)
}
