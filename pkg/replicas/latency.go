package replicas

import "time"

const (
	// estimateStep is the relative change of the estimate for each sample.
	estimateStep = 0.04
	// defaultLatency is assumed for a route before its first reply. A caller that
	// knows the route's target latency can derive a better default from it.
	defaultLatency = 20 * time.Millisecond
)

// latencyEstimate estimates the median reply time of a route over all servers. Each
// sample moves it by the same relative step, so that a few very slow replies hardly
// raise it.
type latencyEstimate struct {
	value time.Duration // 0 before the first sample
	usual usualLatency
}

func (u *latencyEstimate) record(sample time.Duration) {
	switch {
	case u.value == 0:
		u.value = max(sample, time.Microsecond)
	case sample > u.value:
		u.value += time.Duration(estimateStep * float64(u.value))
	default:
		u.value -= time.Duration(estimateStep * float64(u.value))
	}
}

func (u *latencyEstimate) get() time.Duration {
	if u == nil || u.value == 0 {
		return defaultLatency
	}
	return u.value
}

// usualOrTypical returns the usual latency, and the typical one before the first reply.
func (u *latencyEstimate) usualOrTypical() time.Duration {
	if u == nil || u.usual.value == 0 {
		return u.get()
	}
	return u.usual.value
}
