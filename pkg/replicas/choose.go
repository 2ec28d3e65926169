package replicas

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

const (
	// remoteFactor weighs the links between availability zones, which are slow
	// and priced by the byte.
	remoteFactor = 2
	// coldFactor is the slowness of a server that has just started.
	coldFactor = 1.6
	// faultFactor weighs the share of refused and failed attempts: a server that
	// refuses one in five is worse than one in another zone.
	faultFactor = 12.0
	// These penalties put paused, full and ejected servers last, in that order.
	pausedPenalty  = 100.0
	fullPenalty    = 1000.0
	ejectedPenalty = 10000.0
)

// Choice is a chosen server with what decided it, for logs.
type Choice struct {
	Server *directory.Server
	Score  float64 // lower is better; 1 is a usual idle server of this zone
	Paused bool    // it owes a reply for longer than usual
	Full   bool    // a further attempt would probably not be in time
	// Expected is about the time to the reply of a limited server, 0 without a limit.
	Expected time.Duration
	Busy     bool // a further attempt would take the room of others that can be in time
	// Slow is set for a limited server that is late also with one attempt at a time.
	Slow     bool
	Occupied bool // it has as many attempts as it runs at once
	Ejected  bool // it failed several times in a row
}

// Choose returns the best candidate that is not excluded, or false. Candidates
// with equal scores are taken in the order given.
func (t *Tracker) Choose(candidates []*directory.Server, route string, excluded func(id string) bool, now time.Time) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best Choice
	found := false
	for _, candidate := range candidates {
		if excluded(candidate.ID) {
			continue
		}
		choice, usable := t.judgeLocked(candidate, route, now)
		if !usable {
			continue
		}
		if !found || choice.Score < best.Score {
			best, found = choice, true
		}
	}
	return best, found
}

// judgeLocked returns false for a server that is not at its address.
func (t *Tracker) judgeLocked(candidate *directory.Server, route string, now time.Time) (Choice, bool) {
	known := t.serverLocked(candidate.Key(), now)
	known.age(now)
	c := Choice{Server: candidate}
	if !known.misplaced.IsZero() && now.Sub(known.misplaced) < misplacedFor {
		return c, false
	}
	slowness := known.slowness
	if now.Before(candidate.WarmAt) {
		slowness = max(slowness, coldFactor)
	}
	load := float64(len(known.running)) / float64(max(candidate.Capacity, 1))
	c.Score = slowness * (1 + load) * (1 + faultFactor*known.faults)
	if candidate.Zone != t.zone {
		c.Score *= remoteFactor
	}
	if t.pausedLocked(known, now) {
		c.Paused = true
		c.Score += pausedPenalty
	}
	expected := time.Duration(max(known.slowness, 1) * float64(t.usual[route].get()))
	if known.limit.value != 0 {
		c.Expected = expected
	}
	if known.limit.full(len(known.running), now.Sub(known.lastEnd), expected) {
		c.Full = true
		c.Score += fullPenalty
	}
	c.Slow = known.limit.slow()
	c.Occupied = len(known.running) >= max(candidate.Capacity, 1)
	c.Busy = c.Full || known.limit.busy(len(known.running))
	if now.Before(known.ejected) {
		c.Ejected = true
		c.Score += ejectedPenalty
	}
	return c, true
}

// pausedLocked reports whether the oldest running attempt takes much longer than
// usual for its route and this server.
func (t *Tracker) pausedLocked(s *server, now time.Time) bool {
	if len(s.running) == 0 {
		return false
	}
	oldest := s.running[0]
	expected := float64(t.usual[oldest.route].get()) * max(s.slowness, 1)
	limit := max(time.Duration(stallFactor*expected), shortestStall)
	return now.Sub(oldest.began) > limit
}
