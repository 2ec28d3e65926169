package configclient

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponential delays with jitter. The random source is a
// parameter of Delay, so that a sequence of delays can be reproduced.
type Backoff struct {
	Base time.Duration // delay after the first failure, before jitter
	Max  time.Duration // upper bound of every delay
}

// Delay returns the delay after the given number of consecutive failures, which is
// at least 1. The delay is uniformly distributed between half of the exponential
// delay and the whole of it.
func (b Backoff) Delay(failures int, random *rand.Rand) time.Duration {
	full := b.Base
	for range failures - 1 {
		if full >= b.Max {
			break
		}
		full *= 2
	}
	full = min(full, b.Max)
	return full/2 + time.Duration(random.Int64N(int64(full/2)+1))
}
