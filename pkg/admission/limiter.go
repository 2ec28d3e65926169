package admission

import "time"

// limiter adapts the number of concurrent requests between 1 and the slots
// that the bundle states. Other instances may use the same backend server
// while membership views differ, so the server may shed below that number.
type limiter struct {
	slots     int
	limit     float64
	lastLower time.Time
}

const (
	// limitDecrease is the factor applied when the server sheds.
	limitDecrease = 0.7
	// limitIncrease is the gain per limit's worth of successes.
	limitIncrease = 0.5
)

func newLimiter(slots int) limiter {
	slots = max(slots, 1)
	return limiter{slots: slots, limit: float64(slots)}
}

// current is the number of requests that may run at once, at least 1.
func (l *limiter) current() int { return max(int(l.limit), 1) }

func (l *limiter) raise() {
	l.limit = min(l.limit+limitIncrease/l.limit, float64(l.slots))
}

// lower reacts once per service time, so that the refusals of one burst do not
// lower the limit several times.
func (l *limiter) lower(now time.Time, service time.Duration) {
	if !l.lastLower.IsZero() && now.Sub(l.lastLower) < service {
		return
	}
	l.lastLower = now
	l.limit = max(l.limit*limitDecrease, 1)
}

func (l *limiter) setSlots(slots int) {
	slots = max(slots, 1)
	unlimited := l.limit >= float64(l.slots)
	l.slots = slots
	if unlimited || l.limit > float64(slots) {
		l.limit = float64(slots)
	}
}
