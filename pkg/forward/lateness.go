package forward

import (
	"sync"
	"time"
)

const (
	// latenessWeight is the weight of a new request in the moving average: two or three in
	// a row are enough to change the result.
	latenessWeight = 0.3
	// latenessExpiry is how long the average is valid without requests of the route. Slow
	// servers, and servers that are being replaced, are back to normal after some seconds.
	latenessExpiry = 3 * time.Second
)

// lateShares tracks, for each route, the share of shards that recently had no reply at
// the cutoff. It is safe for concurrent use.
type lateShares struct {
	mu     sync.Mutex
	routes map[string]*lateShare
}

type lateShare struct {
	value   float64 // moving average, 0 to 1
	updated time.Time
	exceeds bool // value is above the share that answers may lack
}

// LatenessChange reports that a route began or ceased to have more late shards than its
// answers may lack.
type LatenessChange struct {
	Route           string
	Exceeds         bool
	Share           float64 // of shards that were late, moving average, 0 to 1
	MaxMissingShare float64 // share that an answer may lack, 0 to 1
}

func newLateShares() *lateShares { return &lateShares{routes: make(map[string]*lateShare)} }

// record adds the share of a request's shards without a reply at the cutoff. It returns the
// resulting change, or nil.
func (l *lateShares) record(route string, share, maxMissingShare float64, now time.Time) *LatenessChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.routes[route]
	if entry == nil {
		entry = &lateShare{}
		l.routes[route] = entry
	}
	if now.Sub(entry.updated) > latenessExpiry {
		entry.value = 0
	}
	entry.value += latenessWeight * (share - entry.value)
	entry.updated = now
	if exceeds := entry.value > maxMissingShare; exceeds != entry.exceeds {
		entry.exceeds = exceeds
		return &LatenessChange{Route: route, Exceeds: exceeds, Share: entry.value, MaxMissingShare: maxMissingShare}
	}
	return nil
}

// share returns the average share of late shards of a route, 0 without recent requests.
func (l *lateShares) share(route string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.routes[route]
	if entry == nil || now.Sub(entry.updated) > latenessExpiry {
		return 0
	}
	return entry.value
}
