package admission

import "time"

// limiter adapts the number of concurrent requests between 1 and the slots that
// the bundle states. While the membership views of instances differ, another
// instance may use the same backend server, so the server may shed requests
// below the stated number.
type limiter struct {
	maxLimit     int
	limit        float64
	lastDecrease time.Time
}

const (
	// decreaseFactor is applied to the limit when the server sheds a request.
	decreaseFactor = 0.7
	// increaseGain is the growth of the limit over as many successes as the limit.
	increaseGain = 0.5
)

func newLimiter(slots int) limiter {
	slots = max(slots, 1)
	return limiter{maxLimit: slots, limit: float64(slots)}
}

// current returns the number of requests that may run at once, at least 1.
func (l *limiter) current() int { return max(int(l.limit), 1) }

// increase raises the limit after a success, up to maxLimit.
func (l *limiter) increase() {
	l.limit = min(l.limit+increaseGain/l.limit, float64(l.maxLimit))
}

// decrease lowers the limit at most once per interval, the estimated service
// time, so that a burst of shed requests lowers it only once.
func (l *limiter) decrease(now time.Time, interval time.Duration) {
	if !l.lastDecrease.IsZero() && now.Sub(l.lastDecrease) < interval {
		return
	}
	l.lastDecrease = now
	l.limit = max(l.limit*decreaseFactor, 1)
}

// setSlots changes the maximum. A limit that was at its old maximum moves to the
// new one; a lower limit stays, unless it exceeds the new maximum.
func (l *limiter) setSlots(slots int) {
	slots = max(slots, 1)
	atMaximum := l.limit >= float64(l.maxLimit)
	l.maxLimit = slots
	if atMaximum || l.limit > float64(slots) {
		l.limit = float64(slots)
	}
}
