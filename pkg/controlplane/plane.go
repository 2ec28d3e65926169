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
	// defaultExchangeInterval lets peers confirm the documents twice within
	// FreshnessBound.
	defaultExchangeInterval = 1 * time.Second
	// pushFanOut is the number of instances to which a change is sent at once.
	pushFanOut = 3
	// exchangeTimeout bounds one exchange. A message takes several milliseconds
	// between zones, so the timeout covers a lost packet and its retransmission.
	exchangeTimeout = 250 * time.Millisecond
	// fetchTimeout bounds the transfer of one document of up to 1 MB.
	fetchTimeout = 1 * time.Second
	// confirmAttempts is the number of partners that a periodic exchange tries one
	// after the other until one of them confirms this instance's documents.
	confirmAttempts = 3
)

// Plane keeps the control documents of one instance up to date and distributes
// notices. It is safe for concurrent use.
type Plane struct {
	self             membership.Instance
	incarnation      string
	store            *Store
	view             *membership.View
	service          ConfigService
	peers            PeerClient
	seeds            []membership.Instance
	now              func() time.Time
	log              *slog.Logger
	exchangeInterval time.Duration

	fresh     *freshness
	health    health
	count     func(name string, n int64)
	refreshes singleflight.Group // by key of the manifest; "" is the refresh of EnsureFresh
	draining  atomic.Bool
	pushDue   atomic.Bool // a version or notice has not been pushed yet
	tasks     []*task     // indexed by taskRead to taskFetch

	// Tests that run the tasks step by step on a virtual clock replace these two.
	spawn       func(func())
	withTimeout func(context.Context, time.Duration) (context.Context, context.CancelFunc)

	mu        sync.Mutex
	random    *rand.Rand             // guarded by mu
	wanted    *wantedDocuments       // guarded by mu
	notices   *noticeBuffer          // guarded by mu
	policy    *readPolicy            // guarded by mu
	readState *readState             // guarded by mu
	listeners []func(*peerpb.Notice) // guarded by mu
}

// New returns the control plane of the instance config.Self.
func New(config Config) *Plane {
	p := &Plane{
		self:             config.Self,
		incarnation:      config.Incarnation,
		store:            config.Store,
		view:             config.View,
		service:          config.Service,
		peers:            config.Peers,
		seeds:            config.Seeds,
		now:              config.Now,
		log:              orDiscard(config.Logger),
		exchangeInterval: config.ExchangeInterval,
		count:            config.Count,
		fresh:            newFreshness(config.Now(), config.Freshness),
		random:           config.Rand,
		wanted:           newWantedDocuments(),
		notices:          newNoticeBuffer(),
		policy:           &readPolicy{self: config.Self, random: config.Rand},
		readState:        newReadState(),
		spawn:            func(f func()) { go f() },
		withTimeout:      context.WithTimeout,
	}
	if p.exchangeInterval <= 0 {
		p.exchangeInterval = defaultExchangeInterval
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
	p.store.OnAccept(p.onAccept)
	return p
}

// onAccept replaces the members of the view when the store has accepted a new list
// of members, and pushes the new version of any document. The store calls it with
// its lock held.
func (p *Plane) onAccept(document Document, parsed any) {
	if members, ok := parsed.(membership.Members); ok && document.Key == KeyMembers {
		p.view.Replace(members, document.Revision)
	}
	p.schedulePush()
}

// Sender returns the fields that describe this instance in its messages.
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

// ObserveSender records what the sender of a message states about itself. A bundle
// with a higher version is fetched from the sender, and a draining sender is
// recorded in the view and reported to other instances by a notice.
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
	p.recordAnnouncement(bundleVersionOf(s), s.GetInstanceId())
}

// recordAnnouncement records that the instance source holds version v and wakes
// the fetch task, if the store wants that version.
func (p *Plane) recordAnnouncement(v Version, source string) {
	if v.Digest == "" || !p.store.Wants(v) {
		return
	}
	p.mu.Lock()
	p.wanted.recordSource(v, source, p.now())
	p.mu.Unlock()
	p.tasks[taskFetch].wake()
}

// AwaitBundle waits until the version of the held bundle is at least the given
// one. If ctx ends first, AwaitBundle returns the error of ctx.
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

// SetDraining marks this instance as draining in all its further messages and
// sends a notice of it to other instances.
func (p *Plane) SetDraining() {
	p.draining.Store(true)
	p.AddNotice(&peerpb.Notice{
		Kind:        peerpb.Notice_INSTANCE_DRAINING,
		Subject:     p.self.ID,
		Incarnation: p.incarnation,
		Observer:    p.self.ID,
	})
}

// partners picks up to n random instances to exchange with.
func (p *Plane) partners(n int) []membership.Instance {
	usable, listed := p.view.UsableInstances(p.now()), p.view.ListedInstances()
	p.mu.Lock()
	defer p.mu.Unlock()
	return pickPartners(p.self.ID, usable, listed, n, p.random)
}

// bundleVersionOf returns the bundle version that a message's sender holds.
func bundleVersionOf(s *peerpb.Sender) Version {
	return Version{Key: KeyBundle, Revision: s.GetBundleVersion(), Digest: s.GetBundleDigest()}
}

// partnersAcrossZones picks up to n instances to exchange with, from as many
// availability zones as possible.
func (p *Plane) partnersAcrossZones(n int) []membership.Instance {
	usable, listed := p.view.UsableInstances(p.now()), p.view.ListedInstances()
	p.mu.Lock()
	defer p.mu.Unlock()
	return pickAcrossZones(p.self.ID, usable, listed, n, p.random)
}
