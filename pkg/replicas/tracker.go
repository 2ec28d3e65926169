package replicas

import (
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

const (
	// stallFactor times the usual reply time of a route is the silence after
	// which a server counts as paused.
	stallFactor = 2.5
	// shortestStall keeps the noise of very short replies from counting.
	shortestStall = 20 * time.Millisecond
	// forgetAfter bounds the memory for servers that have left.
	forgetAfter = 2 * time.Minute
	sweepEvery  = 30 * time.Second
)

// Tracker holds the observations of this instance. It is safe for concurrent
// use.
type Tracker struct {
	zone    string       // this instance's availability zone
	observe func(Change) // called without locks held

	mu      sync.Mutex
	servers map[string]*server // by directory.Server.Key
	usual   map[string]*usual  // by route
	swept   time.Time
}

// New returns a tracker that knows nothing, for an instance in the zone. Observe is
// told of each change of the view of a server and must not block.
func New(zone string, observe func(Change)) *Tracker {
	return &Tracker{zone: zone, observe: observe, servers: make(map[string]*server), usual: make(map[string]*usual)}
}

// Begin records that a request of the route is sent to a server. A reply after due is
// late; an attempt whose due time is its start is not judged by its time.
func (t *Tracker) Begin(s *directory.Server, route string, now, due time.Time) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.serverLocked(s.Key(), now)
	a := &Attempt{tracker: t, server: known, target: s, route: route, began: now, due: due}
	known.running = append(known.running, a)
	return a
}

// Usual returns the median reply time of a route, known false before the first
// reply.
func (t *Tracker) Usual(route string) (usual time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known = t.usual[route]
	return t.usual[route].get(), known
}

func (t *Tracker) usualLocked(route string) *usual {
	known := t.usual[route]
	if known == nil {
		known = &usual{}
		t.usual[route] = known
	}
	return known
}

func (t *Tracker) serverLocked(key string, now time.Time) *server {
	known := t.servers[key]
	if known == nil {
		known = newServer(now)
		t.servers[key] = known
	}
	known.seen = now
	t.sweepLocked(now)
	return known
}

func (t *Tracker) sweepLocked(now time.Time) {
	if now.Sub(t.swept) < sweepEvery {
		return
	}
	t.swept = now
	for key, s := range t.servers {
		if len(s.running) == 0 && now.Sub(s.seen) >= forgetAfter {
			delete(t.servers, key)
		}
	}
}
