package shedding

import (
	"math/rand/v2"
	"time"
)

const (
	// retrySpread is the length of the interval of a priority's pauses, as a share of the
	// time until capacity is expected. It keeps callers that were refused together from
	// returning together.
	retrySpread = 0.5
	// honouredShare is the share of the time that a caller has left up to which it honours a
	// pause.
	honouredShare = 1.0 / 3
)

// Pause is the input of RetryAfter.
type Pause struct {
	Capacity  time.Duration // until capacity is expected
	Above     int           // recent priorities that are more urgent
	Below     int           // recent priorities that are less urgent
	Remaining time.Duration // that the caller has left; 0 if it stated no time
}

// RetryAfter returns a random pause for a caller that was refused. Each priority has an interval
// of its own, which begins where that of the next more urgent one ends; the first begins when
// capacity is expected. If the caller would not honour so long a pause, the intervals share the
// time that it honours.
func RetryAfter(p Pause) time.Duration { return p.at(rand.Float64()) }

// at returns the pause at a point of the interval, 0 to 1.
func (p Pause) at(point float64) time.Duration {
	width := time.Duration(retrySpread * float64(p.Capacity))
	from := p.Capacity + time.Duration(p.Above)*width
	honoured := time.Duration(honouredShare * float64(p.Remaining))
	if p.Remaining > 0 && p.Capacity+time.Duration(p.Above+p.Below+1)*width > honoured {
		start := min(p.Capacity, honoured/2)
		width = (honoured - start) / time.Duration(p.Above+p.Below+1)
		from = start + time.Duration(p.Above)*width
	}
	return from + time.Duration(point*float64(width))
}
