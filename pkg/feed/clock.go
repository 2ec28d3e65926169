package feed

import (
	"math/rand/v2"
	"time"
)

// clock is the source of time and of random pauses, so that a test can drive the follow loop
// without sleeping.
type clock struct {
	now    func() time.Time
	random func(limit time.Duration) time.Duration // at least 0 and less than limit, which is positive
}

func systemClock() clock {
	return clock{now: time.Now, random: func(limit time.Duration) time.Duration { return rand.N(limit) }}
}
