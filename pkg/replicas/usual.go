package replicas

import (
	"math"
	"time"
)

// usualDoubling is the time in which the usual latency doubles at most. A route that has
// become slower for good is at its usual latency again after some minutes, while an
// overload of a minute does not pass for the usual state.
const usualDoubling = time.Minute

// usualLatency is the latency of a route while its servers are not busy: the least recent
// value of the typical latency.
type usualLatency struct {
	value time.Duration // 0 before the first reply
	at    time.Time
}

func (u *usualLatency) observe(typical time.Duration, now time.Time) {
	if u.value != 0 {
		growth := math.Exp2(float64(now.Sub(u.at)) / float64(usualDoubling))
		typical = min(typical, time.Duration(math.Ceil(float64(u.value)*growth)))
	}
	u.value, u.at = typical, now
}
