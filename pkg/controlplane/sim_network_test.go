package controlplane

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

var errUnreachable = errors.New("unreachable")

// simTick is one step of virtual time; a wake takes effect in the next step, so
// it is also the time that a change needs from one instance to the next.
const simTick = 50 * time.Millisecond

// simNetwork steps planes on a virtual clock. Calls between them are direct and
// take no virtual time; there are no goroutines, so a run is reproducible.
type simNetwork struct {
	now     time.Time
	random  *rand.Rand
	service *simService
	alive   []*simInstance // by start
	started int
	zones   int
	groups  map[string]int // partition, 0 when absent
	bytes   int64          // of all messages between instances, both directions
	calls   int64
	history []map[string]Version // bundle of each awake instance, per tick
}

// simInstance is one instance with the times at which its tasks are due.
type simInstance struct {
	membership.Instance
	net    *simNetwork
	view   *membership.View
	plane  *Plane
	due    []time.Time
	stale  time.Time // last decision under a stale view with nobody reachable
	frozen bool
	pause  time.Duration             // pause in the next call
	inbox  []*peerpb.ExchangeRequest // received while frozen
	ready  bool
	// Failed attempts to start, and the time of the next one.
	failures int
	retry    time.Time
	fell     string // set when an accepted bundle was lower than the one before
}

func newSimNetwork(instances, zones int, seed uint64) *simNetwork {
	n := &simNetwork{
		now:    time.Unix(1_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
		zones:  zones,
		groups: make(map[string]int),
	}
	n.service = newSimService(n)
	for range instances {
		n.add()
	}
	n.service.publishMembers()
	n.service.publishBundle(1, "a")
	return n
}

// add starts an instance that has learned nothing yet.
func (n *simNetwork) add() *simInstance {
	id := fmt.Sprintf("i%03d", n.started)
	instance := membership.Instance{
		ID:      id,
		Zone:    fmt.Sprintf("z%d", n.started%n.zones),
		Address: fmt.Sprintf("10.0.%d.%d:7000", n.started/250, n.started%250),
		State:   membership.StateLive,
	}
	n.started++
	s := &simInstance{Instance: instance, net: n, view: membership.NewView(id, instance.Zone)}
	clock := func() time.Time { return n.now }
	store := NewStore(simVerify, clock, nil)
	s.plane = New(Config{
		Self:        instance,
		Incarnation: id + "-1",
		Store:       store,
		View:        s.view,
		Service:     &simReader{n.service, s},
		Peers:       &simPeers{s},
		Seeds:       n.seeds(),
		Now:         clock,
		Rand:        rand.New(rand.NewPCG(n.random.Uint64(), 2)),
	})
	s.plane.spawn = func(f func()) { f() }
	s.plane.withTimeout = func(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
		return context.WithCancel(ctx)
	}
	s.watchOrder(store)
	for range s.plane.tasks {
		phase := time.Duration(n.random.Int64N(int64(time.Second)))
		s.due = append(s.due, n.now.Add(phase))
	}
	n.alive = append(n.alive, s)
	return s
}

// seeds returns the addresses in the settings of an instance that starts now.
func (n *simNetwork) seeds() []membership.Instance {
	var seeds []membership.Instance
	for _, s := range n.alive[:min(2, len(n.alive))] {
		seeds = append(seeds, s.Instance)
	}
	return seeds
}

// watchOrder records when the instance accepts a bundle that is not higher.
func (s *simInstance) watchOrder(store *Store) {
	var last Version
	store.OnAccept(func(d Document, _ any) {
		if d.Key != KeyBundle {
			return
		}
		if last.Digest != "" && d.Version().Compare(last) <= 0 {
			s.fell = fmt.Sprintf("%s went from %v to %v", s.ID, last, d.Version())
		}
		last = d.Version()
	})
}

// advance steps all awake instances for d.
func (n *simNetwork) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(simTick)
		for _, s := range n.alive {
			if !s.frozen {
				s.step()
			}
		}
		n.record()
	}
}

func (s *simInstance) step() {
	if !s.ready {
		s.start()
		return
	}
	for i, t := range s.plane.tasks {
		woken := false
		select {
		case <-t.wakeSignal:
			woken = true
		default:
		}
		if woken || !s.net.now.Before(s.due[i]) {
			s.due[i] = s.net.now.Add(t.step(context.Background()))
		}
	}
}

// start is Bootstrap on the virtual clock.
func (s *simInstance) start() {
	if s.net.now.Before(s.retry) {
		return
	}
	s.failures++
	delay, err := s.plane.bootstrapStep(context.Background(), s.failures)
	s.retry = s.net.now.Add(delay)
	s.ready = err == nil
}

// serviceShown prefixes the id of an instance in the history, for the bundle
// that the service showed to it.
const serviceShown = "service to "

// record keeps the bundles that awake instances held in the last ticks.
func (n *simNetwork) record() {
	held := make(map[string]Version)
	for _, s := range n.alive {
		if !s.frozen && s.ready {
			held[s.ID] = s.bundle()
		}
		held[serviceShown+s.ID] = n.service.shownTo(s)
	}
	n.history = append(n.history, held)
	if keep := int(FreshnessBound/simTick) + 1; len(n.history) > keep {
		n.history = n.history[len(n.history)-keep:]
	}
}

func (s *simInstance) bundle() Version {
	d, _ := s.plane.BundleDocument()
	return Version{Key: KeyBundle, Revision: d.Revision, Digest: d.Digest}
}

// reaches reports whether a call from s to the other instance is answered.
func (s *simInstance) reaches(other *simInstance) bool {
	return !s.frozen && !other.frozen && s.net.groups[s.ID] == s.net.groups[other.ID]
}

func (n *simNetwork) find(id string) (*simInstance, bool) {
	for _, s := range n.alive {
		if s.ID == id {
			return s, true
		}
	}
	return nil, false
}

// simPeers is the transport of one instance.
type simPeers struct {
	self *simInstance
}

func (t *simPeers) target(to membership.Instance) (*simInstance, error) {
	other, ok := t.self.net.find(to.ID)
	if !ok || !t.self.reaches(other) {
		return nil, errUnreachable
	}
	return other, nil
}

// queue leaves a request in the socket of a paused process, which reads it when
// it resumes; the caller has given up by then.
func (t *simPeers) queue(to membership.Instance, m *peerpb.ExchangeRequest) {
	other, ok := t.self.net.find(to.ID)
	if ok && other.frozen && t.self.net.groups[t.self.ID] == t.self.net.groups[other.ID] {
		other.inbox = append(other.inbox, proto.CloneOf(m))
	}
}

// pauseInCall pauses the process between the arrival of a reply and its use.
func (s *simInstance) pauseInCall() {
	if s.pause == 0 {
		return
	}
	d := s.pause
	s.pause = 0
	s.frozen = true
	s.net.advance(d)
	s.resume()
}

// resume ends a pause. The bundle of the process is recorded at once, because
// others may learn it before the tick ends.
func (s *simInstance) resume() {
	s.frozen = false
	if s.ready {
		s.net.note(s.ID, s.bundle())
	}
}

// note lowers the recorded bundle of a party in this tick.
func (n *simNetwork) note(party string, held Version) {
	if len(n.history) == 0 {
		return
	}
	last := n.history[len(n.history)-1]
	if recorded, ok := last[party]; !ok || held.Compare(recorded) < 0 {
		last[party] = held
	}
}

// wake resumes a paused process, which first reads the requests of the pause.
func (s *simInstance) wake() {
	s.resume()
	for _, m := range s.inbox {
		_, _ = s.plane.Exchange(context.Background(), m)
	}
	s.inbox = nil
}

func (t *simPeers) count(messages ...proto.Message) {
	t.self.net.calls++
	for _, m := range messages {
		t.self.net.bytes += int64(proto.Size(m))
	}
}

func (t *simPeers) Exchange(ctx context.Context, to membership.Instance, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	other, err := t.target(to)
	if err != nil {
		t.queue(to, m)
		return nil, err
	}
	reply, err := other.plane.Exchange(ctx, m)
	t.count(m, reply)
	t.self.pauseInCall()
	return reply, err
}

func (t *simPeers) FetchDocument(ctx context.Context, to membership.Instance, m *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	other, err := t.target(to)
	if err != nil {
		return nil, err
	}
	reply, err := other.plane.FetchDocument(ctx, m)
	t.count(m, reply)
	return reply, err
}

// heal ends every fault.
func (n *simNetwork) heal() {
	n.service.heal()
	clear(n.groups)
	for _, s := range n.alive {
		s.wake()
	}
}
