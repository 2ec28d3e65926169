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
	exceeds bool // what the answers may lack
}

// LatenessChange is a change of whether more shards of a route are late than its answers
// may lack.
type LatenessChange struct {
	Route    string
	Exceeds  bool
	Share    float64 // of shards that were late, 0 to 1
	Missable float64 // share that an answer may lack, 0 to 1
}

func newLateness() *lateness { return &lateness{routes: make(map[string]*lateShare)} }

// note records the share of a request's shards without a reply when its answer was due, and
// returns what that has changed, or nil.
func (l *lateness) note(route string, share, missable float64, now time.Time) *LatenessChange {
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
	if exceeds := known.value > missable; exceeds != known.exceeds {
		known.exceeds = exceeds
		return &LatenessChange{Route: route, Exceeds: exceeds, Share: known.value, Missable: missable}
	}
	return nil
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
