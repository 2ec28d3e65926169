package replicas

import "time"

const (
	// rateBurst is the time whose requests may be sent at once after idle time, if these
	// are more than one.
	rateBurst = 250 * time.Millisecond
	// maxRateDelay is the longest delay that is told apart; it exceeds the time of any request.
	maxRateDelay = time.Hour
)

// RateSharing divides the requests a second that a server accepts among the instances.
type RateSharing interface {
	// RateShare returns this instance's requests a second at a server in a zone that
	// accepts the given number from all instances. It is positive but may be very low.
	RateShare(serverID, zone string, limit float64) float64
}

// rateLimit bounds the requests a second that this instance sends to a server that has named
// a limit or is cold. It is a token bucket; reservations of later requests make the tokens
// negative.
type rateLimit struct {
	limit      float64   // requests a second that the server accepts from all instances; 0 is none
	cold       float64   // requests a second from all instances while the server is cold; 0 is none
	namedAt    time.Time // when a reply last named the limit
	tokens     float64
	refilledAt time.Time
}

// observe takes in the limit that a reply names, 0 if it names none. A reply to an attempt that
// began before the limit was last named may be older and does not lift it.
func (l *rateLimit) observe(limit float64, began, now time.Time) {
	switch {
	case limit > 0 && l.lowest() == 0:
		*l = rateLimit{limit: limit, namedAt: now, refilledAt: now}
	case limit > 0:
		l.limit, l.namedAt = limit, now
	case !began.Before(l.namedAt) && l.cold == 0:
		*l = rateLimit{}
	case !began.Before(l.namedAt):
		l.limit = 0
	}
}

// setCold takes in the rate that holds while the server is cold, 0 if none does. The bucket
// starts empty: the instances learn of a cold start at about the same time, and a first request
// of each could already be too many.
func (l *rateLimit) setCold(rate float64, now time.Time) {
	if rate == l.cold {
		return
	}
	switch {
	case l.lowest() == 0:
		*l = rateLimit{cold: rate, refilledAt: now}
	case rate == 0 && l.limit == 0:
		*l = rateLimit{}
	default:
		l.cold = rate
	}
}

// lowest returns the lower one of the limits that hold, or 0 if none does.
func (l *rateLimit) lowest() float64 {
	if l.limit == 0 || l.cold == 0 {
		return max(l.limit, l.cold)
	}
	return min(l.limit, l.cold)
}

// refill adds the tokens of the time since the last refill, at share requests a second.
func (l *rateLimit) refill(share float64, now time.Time) {
	l.tokens += share * max(now.Sub(l.refilledAt), 0).Seconds()
	burst := max(share*rateBurst.Seconds(), 1)
	if l.cold != 0 {
		burst = 1 // the bound at a cold server holds in any second
	}
	l.tokens = min(l.tokens, burst)
	l.refilledAt = now
}

// delay returns how long the next request has to wait.
func (l *rateLimit) delay(share float64) time.Duration {
	if l.lowest() == 0 || l.tokens >= 1 {
		return 0
	}
	seconds := (1 - l.tokens) / share
	return time.Duration(min(seconds, maxRateDelay.Seconds()) * float64(time.Second))
}

// take uses one token, or reserves a future one.
func (l *rateLimit) take() {
	if l.lowest() != 0 {
		l.tokens--
	}
}

// giveBack returns the token of a reservation that is not used.
func (l *rateLimit) giveBack() {
	if l.lowest() != 0 {
		l.tokens++
	}
}
