package selection

import "time"

const (
	// latencyHalfLife is how fast the expected latency of an unused replica returns
	// to the median of the service, so that the replica is tried again.
	latencyHalfLife = 5 * time.Second
	// forgetAfter is how long the state of a replica is kept after it was last offered.
	// It bounds the memory for replicas that no longer exist.
	forgetAfter = 10 * time.Minute
)

// server is the observed state of one replica.
type server struct {
	id           string
	service      *service
	inFlight     int
	latency      average // of attempts, including time in owners' queues
	serviceTime  average // of attempts, excluding time in owners' queues
	lastObserved time.Time
	lastOffered  time.Time // last passed to Order or Ejected
	ejection     ejection
}

// expectedLatency returns the score used for selection. The average latency decays to the
// median of the service with the time since the last observation, and is multiplied by the
// number of attempts that the replica would run with one more.
func (s *server) expectedLatency(medianLatency time.Duration, now time.Time) float64 {
	base := float64(medianLatency)
	if s.latency.samples > 0 {
		weight := decay(now.Sub(s.lastObserved), latencyHalfLife)
		base += weight * (float64(s.latency.value) - base)
	}
	return max(base, 1) * float64(s.inFlight+1)
}

// record adds the latency of an observation to the replica and its service.
func (s *server) record(o Observation, now time.Time) {
	switch o.effect() {
	case effectOK:
		s.latency.record(o.Latency)
		s.serviceTime.record(o.serviceTime())
		s.service.latencies.record(o.Latency, now)
		s.service.serviceTimes.record(o.serviceTime(), now)
	case effectMinLatency:
		s.latency.recordMin(o.Latency)
		s.serviceTime.recordMin(o.serviceTime())
		// Without the cancelled attempts the hedge delay would fall with every
		// hedge, because hedges cancel the slow attempts.
		s.service.latencies.record(o.Latency, now)
	}
}
