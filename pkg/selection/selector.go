package selection

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Selector holds an entry instance's observations of the replicas of all
// services. All methods may be called concurrently.
type Selector struct {
	config Config

	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*service
	servers  map[string]*server
	scratch  []candidate // reused by each call of candidatesLocked
}

// New returns a selector without observations. The caller must not use random afterwards.
func New(config Config, random *rand.Rand) *Selector {
	return &Selector{
		config:   config.withDefaults(),
		random:   random,
		services: make(map[string]*service),
		servers:  make(map[string]*server),
	}
}

// Begin records that an attempt is sent. It counts as a first attempt unless a
// previous AllowHedge or AllowRetry of the service allowed it.
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

// Done records the outcome of an attempt that was recorded by Begin.
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
	if effect == effectIgnored {
		return
	}
	server.lastObserved = now
	server.record(o, now)
	switch {
	case effect == effectFailed:
		if server.ejection.recordFailure(s.config.FailuresToEject) {
			s.ejectLocked(server, now)
		}
	case server.service.isSlow(server, s.config) && !server.service.load.overloaded:
		// Under overload the lower bounds from cancelled attempts include
		// queueing and do not show that the replica is slow.
		s.ejectLocked(server, now)
	case effect == effectOK:
		server.ejection.recordSuccess()
	}
}

func (s *Selector) ejectLocked(server *server, now time.Time) {
	if server.ejection.active(now) {
		return
	}
	server.ejection.eject(s.config, now)
	server.serviceTime = average{}
	server.service.countEjected(now)
}

// HedgeDelay returns the given quantile of the recent attempt latencies of a
// service, or false if there are too few.
func (s *Selector) HedgeDelay(service string, quantile float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.services[service]
	if state == nil || quantile <= 0 || quantile >= 1 {
		return 0, false
	}
	return state.latencies.quantile(quantile)
}

// AllowHedge reports whether a hedge may be sent and charges it to the hedge
// budget, a fraction of the first attempts. It allows none while the service is
// overloaded, since hedges would add to the overload. The caller must send each
// attempt that was allowed.
func (s *Selector) AllowHedge(service string, budget float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.services[service]
	if state == nil || state.load.overloaded || !state.hedges.spend(budget) {
		return false
	}
	state.pendingExtra++
	return true
}

// AllowRetry reports whether a retry may be sent and charges it to the service's
// retry budget. The caller must send each attempt that was allowed.
func (s *Selector) AllowRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.services[service]
	if state == nil || !state.retries.spend() {
		return false
	}
	state.pendingExtra++
	return true
}

// Overloaded reports whether too many recent attempts of a service were shed, or
// waited too long in owners' queues.
func (s *Selector) Overloaded(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.services[service]
	if state == nil {
		return false
	}
	state.load.age(now)
	state.load.updateOverloaded()
	return state.load.overloaded
}

func (s *Selector) serviceLocked(name string, now time.Time) *service {
	state := s.services[name]
	if state == nil {
		state = newService()
		s.services[name] = state
	}
	state.advance(now)
	return state
}
