package selection

import (
	"math"
	"time"
)

// averageWeight is the weight of a new sample.
const averageWeight = 0.2

// average is a moving average of durations. Zero samples is unknown.
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

// recordAtLeast uses a lower bound: it can raise the average, never lower it.
func (a *average) recordAtLeast(bound time.Duration) {
	if bound > a.value {
		a.record(bound)
		return
	}
	a.samples++
}

// decay is the weight that remains of an observation after some time.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
