package replicas

import (
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

const (
	// stallFactor is the multiple of the expected reply time after which a server
	// without a reply counts as stalled.
	stallFactor = 2.5
	// minStall is the least time without a reply that counts as a stall. It keeps the
	// normal variation of very short reply times from counting.
	minStall = 20 * time.Millisecond
	// forgetAfter is how long the state of an unused server is kept. It bounds the
	// memory for servers that no longer exist.
	forgetAfter   = 2 * time.Minute
	sweepInterval = 30 * time.Second
)

// Tracker holds this instance's observations of backend servers and the typical latency
// of each route. It is safe for concurrent use.
type Tracker struct {
	zone     string // this instance's availability zone
	sharing  RateSharing
	onChange func(Change) // called without locks held
	zones    *zones       // nil if remoteZoneFactor decides about other zones

	// WarmUps returns what the table states of a service's cold servers. It is set before the
	// tracker is used; nil states nothing.
	WarmUps func(service string) WarmUp

	mu        sync.Mutex
	servers   map[string]*server          // by directory.Server.Key
	latencies map[string]*latencyEstimate // by route
	lastSweep time.Time
}

// New returns a tracker without observations for an instance in the zone. It calls
// onChange for each health change of a server; onChange must not block.
func New(zone string, sharing RateSharing, observe func(Change)) *Tracker {
	return &Tracker{zone: zone, sharing: sharing, onChange: observe, servers: make(map[string]*server), latencies: make(map[string]*latencyEstimate)}
}

// Begin records that a request of the route is sent to a server. A reply after due is
// late. If due equals now, no reply counts as late.
func (t *Tracker) Begin(s *directory.Server, route string, now, due time.Time) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.serverLocked(s.Key(), now)
	state.rate.take()
	a := &Attempt{tracker: t, server: state, target: s, route: route, began: now, due: due}
	state.running = append(state.running, a)
	return a
}

// Reserve reserves the next request that the rate limit of a server allows. Release gives the
// reservation back, also before the reserved attempt begins.
func (t *Tracker) Reserve(s *directory.Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serverLocked(s.Key(), now).rate.take()
}

// Release gives back a reservation.
func (t *Tracker) Release(s *directory.Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serverLocked(s.Key(), now).rate.giveBack()
}

// TypicalLatency returns the estimated median reply time of a route. Known is false before the
// first reply.
func (t *Tracker) TypicalLatency(route string) (latency time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known = t.latencies[route]
	return t.latencies[route].get(), known
}

func (t *Tracker) latencyLocked(route string) *latencyEstimate {
	estimate := t.latencies[route]
	if estimate == nil {
		estimate = &latencyEstimate{}
		t.latencies[route] = estimate
	}
	return estimate
}

func (t *Tracker) serverLocked(key string, now time.Time) *server {
	state := t.servers[key]
	if state == nil {
		state = newServer(now)
		t.servers[key] = state
	}
	state.lastAccess = now
	t.sweepLocked(now)
	return state
}

func (t *Tracker) sweepLocked(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	if t.zones != nil {
		t.zones.sweepRelayed(now)
	}
	for key, s := range t.servers {
		if len(s.running) == 0 && now.Sub(s.lastAccess) >= forgetAfter {
			delete(t.servers, key)
		}
	}
}
