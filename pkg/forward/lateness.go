package forward

import (
	"sync"
	"time"
)

const (
	// latenessWeight is the weight of a new request: two or three in a row decide.
	latenessWeight = 0.3
	// latenessMemory is how long the view holds without requests of the route; slow
	// servers and those that are replaced are usual again after some seconds.
	latenessMemory = 3 * time.Second
)

// lateness knows, for each route, the share of shards that lately had no reply when the
// answer was due. It is safe for concurrent use.
type lateness struct {
	mu     sync.Mutex
	routes map[string]*lateShare
}

type lateShare struct {
	value   float64 // 0 to 1
	updated time.Time
}

func newLateness() *lateness { return &lateness{routes: make(map[string]*lateShare)} }

// note records the share of a request's shards without a reply when its answer was due.
func (l *lateness) note(route string, share float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.routes[route]
	if known == nil {
		known = &lateShare{}
		l.routes[route] = known
	}
	if now.Sub(known.updated) > latenessMemory {
		known.value = 0
	}
	known.value += latenessWeight * (share - known.value)
	known.updated = now
}

// share returns the late share of a route, 0 when it has had no requests of late.
func (l *lateness) share(route string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.routes[route]
	if known == nil || now.Sub(known.updated) > latenessMemory {
		return 0
	}
	return known.value
}
