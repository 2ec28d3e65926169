package crashguard

import "time"

// goodSet remembers when requests last succeeded, in two generations. When the
// younger one is full it replaces the older one, which bounds the memory and
// forgets requests that are no longer asked.
type goodSet struct {
	young map[uint64]int64 // Unix time in ns of the last success
	old   map[uint64]int64
}

func newGoodSet() goodSet {
	return goodSet{young: make(map[uint64]int64)}
}

func (g *goodSet) add(fingerprint uint64, now time.Time) {
	g.put(fingerprint, now.UnixNano())
}

func (g *goodSet) put(fingerprint uint64, at int64) {
	if _, known := g.young[fingerprint]; !known && len(g.young) >= maxGoodPerGeneration {
		g.old = g.young
		g.young = make(map[uint64]int64)
	}
	g.young[fingerprint] = at
}

// has keeps a request that is still asked in the younger generation.
func (g *goodSet) has(fingerprint uint64) bool {
	_, ok := g.get(fingerprint)
	return ok
}

func (g *goodSet) get(fingerprint uint64) (at int64, ok bool) {
	if at, ok = g.young[fingerprint]; ok {
		return at, true
	}
	if at, ok = g.old[fingerprint]; ok {
		g.put(fingerprint, at)
	}
	return at, ok
}

// succeededSince reports whether the request has succeeded at or after t.
func (g *goodSet) succeededSince(fingerprint uint64, t time.Time) bool {
	at, ok := g.get(fingerprint)
	return ok && at >= t.UnixNano()
}
