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
