package selection

import (
	"cmp"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// candidate is one replica while Order ranks them.
type candidate struct {
	index   int // in the slice of replicas passed in
	server  *server
	score   float64 // expected latency; lower is better
	ejected bool
}

// ServiceKey returns the key of a service for Observation and the methods of Selector.
func ServiceKey(team, service string) string { return team + "/" + service }

// Order returns the replicas of one shard in order of preference. The first is
// the better of two random replicas (power of two choices), the others follow
// by expected latency. Ejected replicas come last and remain a last resort. At
// most half of the replicas count as ejected, and none if most servers of the
// service are ejected at once.
func (s *Selector) Order(now time.Time, replicas []membership.BackendServer, localZone string) []membership.BackendServer {
	if len(replicas) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidatesLocked(now, replicas, localZone)
	s.limitEjectionsLocked(candidates, now)
	slices.SortStableFunc(candidates, byPreference)
	s.preferOneOfTwoLocked(candidates)
	ordered := make([]membership.BackendServer, len(candidates))
	for i, c := range candidates {
		ordered[i] = replicas[c.index]
	}
	return ordered
}

// Ejected returns the IDs of the ejected replicas of a shard, under the same bounds on
// ejections as in Order.
func (s *Selector) Ejected(now time.Time, replicas []membership.BackendServer) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidatesLocked(now, replicas, "")
	s.limitEjectionsLocked(candidates, now)
	var ids []string
	for _, c := range candidates {
		if c.ejected {
			ids = append(ids, c.server.id)
		}
	}
	return ids
}

// candidatesLocked returns the candidates in random order. The slice is reused by the next
// call.
func (s *Selector) candidatesLocked(now time.Time, replicas []membership.BackendServer, localZone string) []candidate {
	candidates := s.scratch[:0]
	var medianLatency time.Duration
	for i := range replicas {
		state := s.serverLocked(&replicas[i], now)
		if i == 0 {
			medianLatency, _ = state.service.latencies.quantile(0.5)
		}
		score := state.expectedLatency(medianLatency, now)
		if replicas[i].Zone != localZone {
			score *= s.config.RemoteFactor
		}
		candidates = append(candidates, candidate{index: i, server: state, score: score, ejected: state.ejection.active(now)})
	}
	s.scratch = candidates
	// The shuffle spreads load over replicas with equal scores.
	s.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates
}

// limitEjectionsLocked bounds the ejected candidates to half of all, and to none if most
// servers of the service are ejected. The ejections that end last are kept.
func (s *Selector) limitEjectionsLocked(candidates []candidate, now time.Time) {
	allowed := len(candidates) / 2
	if len(candidates) > 0 && candidates[0].server.service.mostEjected(now) {
		allowed = 0
	}
	slices.SortStableFunc(candidates, byEjectionEnd)
	for i := range candidates {
		if candidates[i].ejected && allowed > 0 {
			allowed--
			continue
		}
		candidates[i].ejected = false
	}
}

// byEjectionEnd sorts ejected candidates first, those whose ejection ends last at the front,
// and keeps the order of the rest.
func byEjectionEnd(a, b candidate) int {
	if a.ejected && b.ejected {
		return cmp.Or(b.server.ejection.until.Compare(a.server.ejection.until), cmp.Compare(a.server.id, b.server.id))
	}
	if a.ejected == b.ejected {
		return 0
	}
	if a.ejected {
		return -1
	}
	return 1
}

func byPreference(a, b candidate) int {
	if a.ejected != b.ejected {
		if a.ejected {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.score, b.score)
}

// preferOneOfTwoLocked moves the better of two random replicas to the front.
// If every instance took the best one, all of them would load the same replica.
func (s *Selector) preferOneOfTwoLocked(sorted []candidate) {
	usable := 0
	for _, c := range sorted {
		if !c.ejected {
			usable++
		}
	}
	if usable <= 2 {
		return
	}
	first := s.random.IntN(usable)
	second := s.random.IntN(usable - 1)
	if second >= first {
		second++
	}
	chosen := min(first, second)
	front := sorted[chosen]
	copy(sorted[1:chosen+1], sorted[:chosen])
	sorted[0] = front
}

// serverLocked returns the state of a replica and marks it as recently offered.
func (s *Selector) serverLocked(replica *membership.BackendServer, now time.Time) *server {
	state := s.servers[replica.ID]
	if state == nil {
		key := ServiceKey(replica.Team, replica.Service)
		state = &server{id: replica.ID, service: s.serviceLocked(key, now)}
		s.servers[replica.ID] = state
		state.service.servers[replica.ID] = state
	}
	state.lastOffered = now
	state.service.advance(now)
	s.sweepLocked(state.service, now)
	return state
}

// sweepLocked deletes the state of replicas that were not offered for forgetAfter.
func (s *Selector) sweepLocked(service *service, now time.Time) {
	if now.Sub(service.lastSweep) < forgetAfter {
		return
	}
	service.lastSweep = now
	for id, server := range service.servers {
		if now.Sub(server.lastOffered) >= forgetAfter && server.inFlight == 0 {
			delete(service.servers, id)
			delete(s.servers, id)
		}
	}
	service.countEjected(now)
}
