package standin

import (
	"math"
	"math/rand/v2"
	"time"
)

// ServiceTime is a log-normal distribution of the time that a slot is busy
// with one request.
type ServiceTime struct {
	Median time.Duration
	Sigma  float64 // of the logarithm; 0.5 puts p99 at 3.2 times the median
}

// Mean returns the mean of the distribution.
func (s ServiceTime) Mean() time.Duration {
	return time.Duration(float64(s.Median) * math.Exp(s.Sigma*s.Sigma/2))
}

// Sample draws one service time.
func (s ServiceTime) Sample(random *rand.Rand) time.Duration {
	return time.Duration(float64(s.Median) * math.Exp(s.Sigma*random.NormFloat64()))
}
