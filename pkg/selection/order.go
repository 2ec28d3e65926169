package selection

import (
	"cmp"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// candidate is one replica during the ordering.
type candidate struct {
	index   int // in the replicas that were passed in
	server  *server
	score   float64 // expected latency; lower is better
	ejected bool
}

// ServiceKey is the key of a backend server's service in Observation and the
// other methods.
func ServiceKey(team, service string) string { return team + "/" + service }

// Order returns the replicas of one shard in the order of preference. The
// first is the better one of two that are chosen at random (power of two
// choices), the others follow by expected latency. Ejected replicas come last,
// so that they remain the last resort. At most half of the replicas count as
// ejected, and none when most servers of the service look bad at once.
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

// Ejected returns those of a shard's replicas that are ejected now, after the
// same limits as in Order.
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

// candidatesLocked fills the scratch space, which is valid until the next call.
func (s *Selector) candidatesLocked(now time.Time, replicas []membership.BackendServer, localZone string) []candidate {
	candidates := s.scratch[:0]
	var neutral time.Duration
	for i := range replicas {
		known := s.serverLocked(&replicas[i], now)
		if i == 0 {
			neutral, _ = known.service.latencies.quantile(0.5)
		}
		score := known.expected(neutral, now)
		if replicas[i].Zone != localZone {
			score *= s.config.RemoteFactor
		}
		candidates = append(candidates, candidate{index: i, server: known, score: score, ejected: known.ejection.active(now)})
	}
	s.scratch = candidates
	// Equal replicas must not all be chosen in the order of the list.
	s.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates
}

// limitEjectionsLocked keeps the ejections that last longest.
func (s *Selector) limitEjectionsLocked(candidates []candidate, now time.Time) {
	allowed := len(candidates) / 2
	if len(candidates) > 0 && candidates[0].server.service.commonFault(now) {
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

// byEjectionEnd puts the longest ejections first and leaves the rest in order.
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
// Always taking the best would send the load of all instances to one replica.
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

// serverLocked returns the state of a replica and notes that it is in use.
func (s *Selector) serverLocked(replica *membership.BackendServer, now time.Time) *server {
	known := s.servers[replica.ID]
	if known == nil {
		key := ServiceKey(replica.Team, replica.Service)
		known = &server{id: replica.ID, service: s.serviceLocked(key, now)}
		s.servers[replica.ID] = known
		known.service.servers[replica.ID] = known
	}
	known.seen = now
	known.service.advance(now)
	s.sweepLocked(known.service, now)
	return known
}

// sweepLocked forgets replicas that have not been offered for long.
func (s *Selector) sweepLocked(service *service, now time.Time) {
	if now.Sub(service.swept) < forgetAfter {
		return
	}
	service.swept = now
	for id, server := range service.servers {
		if now.Sub(server.seen) >= forgetAfter && server.inFlight == 0 {
			delete(service.servers, id)
			delete(s.servers, id)
		}
	}
	service.countEjected(now)
}
