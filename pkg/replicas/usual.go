package replicas

import "time"

const (
	// usualStep is the relative step of the estimate towards a sample's side.
	usualStep = 0.04
	// unknownUsual stands in until a route has replies, unless its target says more.
	unknownUsual = 20 * time.Millisecond
)

// usual estimates the median reply time of a route over all servers. It moves by
// a fixed step, so that a few very slow replies do not raise it.
type usual struct {
	value time.Duration // 0 before the first sample
}

func (u *usual) record(sample time.Duration) {
	switch {
	case u.value == 0:
		u.value = max(sample, time.Microsecond)
	case sample > u.value:
		u.value += time.Duration(usualStep * float64(u.value))
	default:
		u.value -= time.Duration(usualStep * float64(u.value))
	}
}

func (u *usual) get() time.Duration {
	if u == nil || u.value == 0 {
		return unknownUsual
	}
	return u.value
}
