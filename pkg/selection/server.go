package selection

import "time"

const (
	// latencyHalfLife returns the view of an unused replica to neutral, so
	// that it gets tried again.
	latencyHalfLife = 5 * time.Second
	// forgetAfter bounds the memory for replicas that have left.
	forgetAfter = 10 * time.Minute
)

// server is what is known of one replica.
type server struct {
	id       string
	service  *service
	inFlight int
	latency  average // of attempts, queue included
	work     average // of attempts, queue excluded
	observed time.Time
	seen     time.Time // last offered for selection
	ejection ejection
}

// expected is the latency used for selection: the average, which returns to
// the neutral value as it ages, times the requests that would share the
// replica.
func (s *server) expected(neutral time.Duration, now time.Time) float64 {
	base := float64(neutral)
	if s.latency.samples > 0 {
		weight := decay(now.Sub(s.observed), latencyHalfLife)
		base += weight * (float64(s.latency.value) - base)
	}
	return max(base, 1) * float64(s.inFlight+1)
}

// record adds the latency of an observation to the replica and its service.
func (s *server) record(o Observation, now time.Time) {
	switch o.effect() {
	case effectOK:
		s.latency.record(o.Latency)
		s.work.record(o.serviceTime())
		s.service.latencies.record(o.Latency, now)
		s.service.work.record(o.serviceTime(), now)
	case effectAtLeast:
		s.latency.recordAtLeast(o.Latency)
		s.work.recordAtLeast(o.serviceTime())
		// Without the attempts that were cut short, the measured quantile
		// would fall with every hedge that it starts.
		s.service.latencies.record(o.Latency, now)
	}
}
