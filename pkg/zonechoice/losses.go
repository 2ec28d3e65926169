package zonechoice

import (
	"math"
	"time"
)

const (
	// lossWeight is the weight of a new part in the moving average.
	lossWeight = 0.1
	// lossHalfLife equals the time in which the slowness of a server is forgotten.
	lossHalfLife = 3 * time.Second
)

// losses is the moving share of the parts that another zone has not delivered in time.
type losses struct {
	zone  string
	share float64
	at    time.Time
}

func (l *losses) record(lost bool, now time.Time) {
	sample := 0.0
	if lost {
		sample = 1
	}
	l.share = l.get(now)
	l.share += lossWeight * (sample - l.share)
	l.at = now
}

func (l *losses) get(now time.Time) float64 {
	if l.share == 0 {
		return 0
	}
	return l.share * math.Exp2(-float64(now.Sub(l.at))/float64(lossHalfLife))
}
