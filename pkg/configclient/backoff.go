package configclient

import (
	"math/rand/v2"
	"time"
)

// Backoff is an exponential delay with jitter. The random source is passed in,
// so that a sequence of delays can be reproduced.
type Backoff struct {
	Base time.Duration // mean delay after the first failure
	Max  time.Duration // upper bound of every delay
}

// Delay returns the delay after the given number of consecutive failures, 1 or
// more: uniform between half of and the full exponential delay.
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
