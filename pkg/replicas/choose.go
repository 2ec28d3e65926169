package replicas

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

const (
	// remoteZoneFactor multiplies the score of servers in other availability zones,
	// because links between zones are slow and billed by the byte. It applies unless
	// DecideZonesBy is called.
	remoteZoneFactor = 2
	// coldSlowness is the least slowness assumed of a server that is warming up.
	coldSlowness = 1.6
	// errorFactor is the weight of the error rate in the score. It makes a server that
	// refuses one in five attempts worse than an equal server in another zone.
	errorFactor = 12.0
	// The penalties put stalled, then limited, then ejected servers after all others, and
	// servers whose rate limit is used up last, by their delay in seconds.
	stalledPenalty = 100.0
	limitedPenalty = 1000.0
	ejectedPenalty = 10000.0
	ratePenalty    = 100000.0
)

// Choice is a chosen server with the state that decides how it may be used.
type Choice struct {
	Server  *directory.Server
	Score   float64 // lower is better; 1 is an idle server of this zone with typical latency
	Stalled bool    // its oldest running attempt takes much longer than expected
	AtLimit bool    // its concurrency limit allows no further attempt now
	// ExpectedLatency is the estimated reply time of a limited server, 0 for one without a limit.
	ExpectedLatency time.Duration
	// FreeIn is the expected time until a server at its limit takes another attempt.
	FreeIn time.Duration
	// Limit is the number of attempts that the limit allows at once, 0 without one.
	Limit          float64
	LimitedAndBusy bool // it is limited, and full or running attempts; another attempt delays them
	// Slow is set for a limited server that replies late even with one attempt at a time.
	Slow       bool
	AtCapacity bool // it runs as many attempts as its capacity
	Ejected    bool // after consecutive failures, until the ejection ends
	// RateDelay is how long an attempt has to wait for the rate limit that the server names, or
	// that holds while it is cold, as far as this instance's share of it goes; 0 without a limit.
	RateDelay time.Duration

	base  float64 // score without penalties
	state *server
}

// Choose returns the candidate with the lowest score that is not excluded, or false if
// none is usable. Of candidates with equal scores the first one is chosen.
func (t *Tracker) Choose(candidates []*directory.Server, route string, excluded func(id string) bool, now time.Time) (Choice, bool) {
	costPerKiB := time.Duration(0)
	if t.zones != nil {
		costPerKiB = t.zones.chooser.CostPerKiB()
	}
	return t.choose(candidates, route, costPerKiB, excluded, now)
}

func (t *Tracker) choose(candidates []*directory.Server, route string, costPerKiB time.Duration, excluded func(id string) bool, now time.Time) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best Choice
	found := false
	for _, candidate := range candidates {
		if excluded(candidate.ID) {
			continue
		}
		choice, usable := t.evaluateLocked(candidate, route, now)
		if !usable {
			continue
		}
		t.addWayLocked(&choice, route, costPerKiB)
		if !found || choice.Score < best.Score {
			best, found = choice, true
		}
	}
	return best, found
}

// evaluateLocked computes the score of a candidate. It returns false if another server
// was recently found at its address, or if the server wants no requests now.
func (t *Tracker) evaluateLocked(candidate *directory.Server, route string, now time.Time) (Choice, bool) {
	state := t.serverLocked(candidate.Key(), now)
	state.age(now)
	c := Choice{Server: candidate, state: state}
	if !state.misdirectedAt.IsZero() && now.Sub(state.misdirectedAt) < misdirectedExclusion {
		return c, false
	}
	if now.Before(state.pausedUntil) {
		return c, false
	}
	slowness := state.slowness
	cold, coldRate := t.coldness(candidate, state.statedColdUntil, now)
	if cold {
		slowness = max(slowness, coldSlowness)
	}
	load := float64(len(state.running)) / float64(max(candidate.Capacity, 1))
	if state.load.fresh(now) {
		// The server knows the requests of all instances, this one those that it has sent since.
		statedLoad, statedSlowness := state.load.busyness()
		load, slowness = max(load, statedLoad), max(slowness, statedSlowness)
	}
	c.Score = slowness * (1 + load) * (1 + errorFactor*state.errorRate)
	c.base = c.Score
	if t.zones == nil && candidate.Zone != t.zone {
		c.Score *= remoteZoneFactor
	}
	if t.stalledLocked(state, now) {
		c.Stalled = true
		c.Score += stalledPenalty
	}
	expected := time.Duration(max(state.slowness, 1) * float64(t.latencies[route].get()))
	if state.limit.value != 0 {
		c.ExpectedLatency = expected
		c.Limit = state.limit.value
	}
	if state.limit.full(len(state.running), now.Sub(state.lastAttemptEnd), expected) {
		c.AtLimit = true
		c.FreeIn = state.freeIn(expected, now)
		c.Score += limitedPenalty
	}
	c.Slow = state.limit.slow()
	c.AtCapacity = len(state.running) >= max(candidate.Capacity, 1)
	c.LimitedAndBusy = c.AtLimit || state.limit.busy(len(state.running))
	if now.Before(state.ejectedUntil) {
		c.Ejected = true
		c.Score += ejectedPenalty
	}
	state.rate.setCold(coldRate, now)
	if limit := state.rate.lowest(); limit != 0 {
		share := t.sharing.RateShare(candidate.ID, candidate.Zone, limit)
		state.rate.refill(share, now)
		if c.RateDelay = state.rate.delay(share); c.RateDelay > 0 {
			c.Score += ratePenalty + c.RateDelay.Seconds()
		}
	}
	return c, true
}

// stalledLocked reports whether the oldest running attempt already takes much longer
// than expected for its route and this server.
func (t *Tracker) stalledLocked(s *server, now time.Time) bool {
	if len(s.running) == 0 {
		return false
	}
	oldest := s.running[0]
	expected := float64(t.latencies[oldest.route].get()) * max(s.slowness, 1)
	limit := max(time.Duration(stallFactor*expected), minStall)
	return now.Sub(oldest.began) > limit
}
