package standin

import (
	"sync"
	"time"
)

// ZoneHeader names the caller's availability zone in a request.
const ZoneHeader = "Sycamorelift-Zone"

// ZoneDelays holds one-way delays between availability zones and from callers
// outside of the zones. It is safe for concurrent use.
type ZoneDelays struct {
	mu      sync.RWMutex
	between time.Duration
	pairs   map[zonePair]time.Duration
}

type zonePair struct{ from, to string }

// NewZoneDelays returns delays of between for every pair of different zones.
func NewZoneDelays(between time.Duration) *ZoneDelays {
	return &ZoneDelays{between: between, pairs: map[zonePair]time.Duration{}}
}

// Set sets the one-way delay from one zone, or from the named client, to
// another zone.
func (z *ZoneDelays) Set(from, to string, oneWay time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.pairs[zonePair{from, to}] = oneWay
}

// OneWay returns the one-way delay. An empty zone means that the caller did
// not state one; it has no delay unless a pair with "" is set.
func (z *ZoneDelays) OneWay(from, to string) time.Duration {
	if z == nil {
		return 0
	}
	z.mu.RLock()
	defer z.mu.RUnlock()
	if delay, ok := z.pairs[zonePair{from, to}]; ok {
		return delay
	}
	if from == "" || from == to {
		return 0
	}
	return z.between
}
