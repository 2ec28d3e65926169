package selection

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Selector holds one entry instance's observations of the replicas of all
// services. All methods may be called concurrently.
type Selector struct {
	config Config

	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*service
	servers  map[string]*server
	scratch  []candidate // reused by each ordering
}

// New returns a selector that knows nothing. It takes over random.
func New(config Config, random *rand.Rand) *Selector {
	return &Selector{
		config:   config.withDefaults(),
		random:   random,
		services: make(map[string]*service),
		servers:  make(map[string]*server),
	}
}

// Begin records that an attempt is sent. It counts as a first attempt unless
// AllowHedge or AllowRetry has allowed it.
func (s *Selector) Begin(serverID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.servers[serverID]
	if server == nil {
		return
	}
	server.inFlight++
	server.service.begin(s.config.RetryBudget)
}

// Done records the outcome of an attempt that Begin announced.
func (s *Selector) Done(o Observation, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.serviceLocked(o.Service, now)
	service.load.record(o, now)
	server := s.servers[o.ServerID]
	if server == nil {
		return
	}
	server.inFlight = max(server.inFlight-1, 0)
	s.observeLocked(server, o, now)
}

func (s *Selector) observeLocked(server *server, o Observation, now time.Time) {
	effect := o.effect()
	if effect == effectNone {
		return
	}
	server.observed = now
	server.record(o, now)
	switch {
	case effect == effectFailed:
		if server.ejection.fail(s.config.Failures) {
			s.ejectLocked(server, now)
		}
	case server.service.isSlow(server, s.config) && !server.service.load.overloaded:
		// Under overload the bounds of attempts that were cut short measure
		// queueing, not the replica.
		s.ejectLocked(server, now)
	case effect == effectOK:
		server.ejection.succeed()
	}
}

func (s *Selector) ejectLocked(server *server, now time.Time) {
	if server.ejection.active(now) {
		return
	}
	server.ejection.eject(s.config, now)
	server.work = average{}
	server.service.countEjected(now)
}

// HedgeDelay returns the given quantile of the recent attempt latencies of a
// service, or false while there are too few.
func (s *Selector) HedgeDelay(service string, quantile float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.services[service]
	if known == nil || quantile <= 0 || quantile >= 1 {
		return 0, false
	}
	return known.latencies.quantile(quantile)
}

// AllowHedge takes one hedge from the budget, which is a fraction of the first
// attempts. It is refused while the service is overloaded, since hedges would
// add to the overload. The caller must send the attempt that was allowed.
func (s *Selector) AllowHedge(service string, budget float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.services[service]
	if known == nil || known.load.overloaded || !known.hedges.spend(budget) {
		return false
	}
	known.extra++
	return true
}

// AllowRetry takes one retry from the service's retry budget. The caller must
// send the attempt that was allowed.
func (s *Selector) AllowRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.services[service]
	if known == nil || !known.retries.spend() {
		return false
	}
	known.extra++
	return true
}

// Overloaded reports whether recent attempts were refused or queued too much.
func (s *Selector) Overloaded(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.services[service]
	if known == nil {
		return false
	}
	known.load.age(now)
	known.load.judge()
	return known.load.overloaded
}

func (s *Selector) serviceLocked(name string, now time.Time) *service {
	known := s.services[name]
	if known == nil {
		known = newService()
		s.services[name] = known
	}
	known.advance(now)
	return known
}
