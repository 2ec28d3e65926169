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

// simTick is one step of virtual time. A task that is woken runs in the next
// step, so a change takes one simTick to get from one instance to another.
const simTick = 50 * time.Millisecond

// simNetwork runs the control planes of several instances on a virtual clock.
// Calls between instances are direct method calls and take no virtual time. A
// run starts no goroutines, so the same seed gives the same run.
type simNetwork struct {
	now            time.Time
	random         *rand.Rand
	service        *simService
	instances      []*simInstance // running and paused, in the order of their start
	startCount     int
	zones          int
	partitionSides map[string]int // side of the network partition by instance id; 0 when absent
	peerBytes      int64          // requests and replies between all instances
	peerCalls      int64
	bundleHistory  []map[string]Version // per tick: bundles by instance id and by serviceViewPrefix + id
}

// simInstance is one simulated instance: its control plane, the virtual times
// at which the plane's tasks are due, and the faults injected into its process.
type simInstance struct {
	membership.Instance
	net                  *simNetwork
	view                 *membership.View
	plane                *Plane
	taskDue              []time.Time
	lastIsolatedDecision time.Time // last stale decision made while nobody was reachable
	paused               bool
	nextCallPause        time.Duration             // length of the pause in the next exchange; 0 for none
	queuedRequests       []*peerpb.ExchangeRequest // received while the process was paused
	ready                bool
	// Attempts to bootstrap so far, and the time of the next attempt.
	startAttempts    int
	nextStart        time.Time
	bundleRegression string // describes an accepted bundle that was not higher than the one before
}

func newSimNetwork(instances, zones int, seed uint64) *simNetwork {
	n := &simNetwork{
		now:            time.Unix(1_000_000, 0),
		random:         rand.New(rand.NewPCG(seed, 1)),
		zones:          zones,
		partitionSides: make(map[string]int),
	}
	n.service = newSimService(n)
	for range instances {
		n.addInstance()
	}
	n.service.publishMembers()
	n.service.publishBundle(1, "a")
	return n
}

// addInstance starts an instance that holds no documents yet.
func (n *simNetwork) addInstance() *simInstance {
	id := fmt.Sprintf("i%03d", n.startCount)
	instance := membership.Instance{
		ID:      id,
		Zone:    fmt.Sprintf("z%d", n.startCount%n.zones),
		Address: fmt.Sprintf("10.0.%d.%d:7000", n.startCount/250, n.startCount%250),
		State:   membership.StateLive,
	}
	n.startCount++
	s := &simInstance{Instance: instance, net: n, view: membership.NewView(id, instance.Zone)}
	clock := func() time.Time { return n.now }
	store := NewStore(simVerify, clock, nil)
	s.plane = New(Config{
		Self:        instance,
		Incarnation: id + "-1",
		Store:       store,
		View:        s.view,
		Service:     &simServiceClient{n.service, s},
		Peers:       &simPeerTransport{s},
		Seeds:       n.seeds(),
		Now:         clock,
		Rand:        rand.New(rand.NewPCG(n.random.Uint64(), 2)),
	})
	s.plane.spawn = func(f func()) { f() }
	s.plane.withTimeout = func(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
		return context.WithCancel(ctx)
	}
	s.detectBundleRegression(store)
	for range s.plane.tasks {
		phase := time.Duration(n.random.Int64N(int64(time.Second)))
		s.taskDue = append(s.taskDue, n.now.Add(phase))
	}
	n.instances = append(n.instances, s)
	return s
}

// seeds returns the seed instances in the settings of an instance that starts now.
func (n *simNetwork) seeds() []membership.Instance {
	var seeds []membership.Instance
	for _, s := range n.instances[:min(2, len(n.instances))] {
		seeds = append(seeds, s.Instance)
	}
	return seeds
}

// detectBundleRegression sets bundleRegression when the store accepts a bundle
// that is not higher than the bundle accepted before.
func (s *simInstance) detectBundleRegression(store *Store) {
	var last Version
	store.OnAccept(func(d Document, _ any) {
		if d.Key != KeyBundle {
			return
		}
		if last.Digest != "" && d.Version().Compare(last) <= 0 {
			s.bundleRegression = fmt.Sprintf("%s went from %v to %v", s.ID, last, d.Version())
		}
		last = d.Version()
	})
}

// advance moves the virtual clock forward by d and runs the due tasks of all
// instances that are not paused.
func (n *simNetwork) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(simTick)
		for _, s := range n.instances {
			if !s.paused {
				s.runDueTasks()
			}
		}
		n.recordHistory()
	}
}

// runDueTasks runs the tasks that are due or woken, or makes a bootstrap attempt
// when the instance is not ready yet.
func (s *simInstance) runDueTasks() {
	if !s.ready {
		s.bootstrap()
		return
	}
	for i, t := range s.plane.tasks {
		woken := false
		select {
		case <-t.wakeSignal:
			woken = true
		default:
		}
		if woken || !s.net.now.Before(s.taskDue[i]) {
			s.taskDue[i] = s.net.now.Add(t.step(context.Background()))
		}
	}
}

// bootstrap does the work of Plane.Bootstrap on the virtual clock: each call makes
// at most one attempt.
func (s *simInstance) bootstrap() {
	if s.net.now.Before(s.nextStart) {
		return
	}
	s.startAttempts++
	delay, err := s.plane.bootstrapStep(context.Background(), s.startAttempts)
	s.nextStart = s.net.now.Add(delay)
	s.ready = err == nil
}

// serviceViewPrefix precedes the id of an instance in those keys of bundleHistory
// that hold the bundle that the service showed to this instance.
const serviceViewPrefix = "service to "

// recordHistory adds the bundles that ready, running instances hold and the
// bundles that the service shows. It keeps the ticks of the last FreshnessBound.
func (n *simNetwork) recordHistory() {
	bundles := make(map[string]Version)
	for _, s := range n.instances {
		if !s.paused && s.ready {
			bundles[s.ID] = s.bundleVersion()
		}
		bundles[serviceViewPrefix+s.ID] = n.service.bundleVisibleTo(s)
	}
	n.bundleHistory = append(n.bundleHistory, bundles)
	if keep := int(FreshnessBound/simTick) + 1; len(n.bundleHistory) > keep {
		n.bundleHistory = n.bundleHistory[len(n.bundleHistory)-keep:]
	}
}

// bundleVersion returns the version of the bundle that the instance holds.
func (s *simInstance) bundleVersion() Version {
	d, _ := s.plane.BundleDocument()
	return Version{Key: KeyBundle, Revision: d.Revision, Digest: d.Digest}
}

// reaches reports whether a call from s to the other instance gets an answer.
func (s *simInstance) reaches(other *simInstance) bool {
	return !s.paused && !other.paused && s.net.partitionSides[s.ID] == s.net.partitionSides[other.ID]
}

func (n *simNetwork) findInstance(id string) (*simInstance, bool) {
	for _, s := range n.instances {
		if s.ID == id {
			return s, true
		}
	}
	return nil, false
}

// simPeerTransport carries the calls of one instance to its peers.
type simPeerTransport struct {
	self *simInstance
}

// target returns the called instance, or errUnreachable.
func (t *simPeerTransport) target(to membership.Instance) (*simInstance, error) {
	other, ok := t.self.net.findInstance(to.ID)
	if !ok || !t.self.reaches(other) {
		return nil, errUnreachable
	}
	return other, nil
}

// queueIfPaused stands for the socket buffer of a paused process: the process
// reads the request when it resumes, after the caller has given up.
func (t *simPeerTransport) queueIfPaused(to membership.Instance, m *peerpb.ExchangeRequest) {
	other, ok := t.self.net.findInstance(to.ID)
	if ok && other.paused && t.self.net.partitionSides[t.self.ID] == t.self.net.partitionSides[other.ID] {
		other.queuedRequests = append(other.queuedRequests, proto.CloneOf(m))
	}
}

// pauseIfScheduled pauses the process for nextCallPause after a reply has arrived
// and before the process uses the reply.
func (s *simInstance) pauseIfScheduled() {
	if s.nextCallPause == 0 {
		return
	}
	d := s.nextCallPause
	s.nextCallPause = 0
	s.paused = true
	s.net.advance(d)
	s.resume()
}

// resume ends a pause. It records the bundle of the process at once, because
// peers may receive this bundle before recordHistory runs at the end of the tick.
func (s *simInstance) resume() {
	s.paused = false
	if s.ready {
		s.net.recordLowest(s.ID, s.bundleVersion())
	}
}

// recordLowest records the bundle held under key in the newest tick of the
// history, unless a lower bundle is recorded there already.
func (n *simNetwork) recordLowest(key string, held Version) {
	if len(n.bundleHistory) == 0 {
		return
	}
	newest := n.bundleHistory[len(n.bundleHistory)-1]
	if recorded, ok := newest[key]; !ok || held.Compare(recorded) < 0 {
		newest[key] = held
	}
}

// resumeAndServeQueue resumes a paused process, which first serves the requests
// that arrived during the pause.
func (s *simInstance) resumeAndServeQueue() {
	s.resume()
	for _, m := range s.queuedRequests {
		_, _ = s.plane.Exchange(context.Background(), m)
	}
	s.queuedRequests = nil
}

// countCall adds a call and the size of its messages to the totals of the network.
func (t *simPeerTransport) countCall(messages ...proto.Message) {
	t.self.net.peerCalls++
	for _, m := range messages {
		t.self.net.peerBytes += int64(proto.Size(m))
	}
}

func (t *simPeerTransport) Exchange(ctx context.Context, to membership.Instance, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	other, err := t.target(to)
	if err != nil {
		t.queueIfPaused(to, m)
		return nil, err
	}
	reply, err := other.plane.Exchange(ctx, m)
	t.countCall(m, reply)
	t.self.pauseIfScheduled()
	return reply, err
}

func (t *simPeerTransport) FetchDocument(ctx context.Context, to membership.Instance, m *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	other, err := t.target(to)
	if err != nil {
		return nil, err
	}
	reply, err := other.plane.FetchDocument(ctx, m)
	t.countCall(m, reply)
	return reply, err
}

// heal ends all faults of the service, the partition and all pauses.
func (n *simNetwork) heal() {
	n.service.heal()
	clear(n.partitionSides)
	for _, s := range n.instances {
		s.resumeAndServeQueue()
	}
}
