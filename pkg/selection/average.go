package selection

import (
	"math"
	"time"
)

// averageWeight is the weight of a new sample in the moving average.
const averageWeight = 0.2

// average is an exponential moving average of durations. It is unknown while samples is 0.
type average struct {
	value   time.Duration
	samples int
}

func (a *average) record(sample time.Duration) {
	a.samples++
	if a.samples == 1 {
		a.value = sample
		return
	}
	a.value += time.Duration(averageWeight * float64(sample-a.value))
}

// recordMin records a lower bound of a duration, which can only raise the average.
func (a *average) recordMin(bound time.Duration) {
	if bound > a.value {
		a.record(bound)
		return
	}
	a.samples++
}

// decay returns the remaining weight of an observation of the given age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
