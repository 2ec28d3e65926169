package feed

import (
	"sync/atomic"
	"time"
)

// unconfirmedAge is the age before the first confirmation.
const unconfirmedAge = time.Hour

// confirmation holds the latest time as of which the store has confirmed what this instance
// knows. It is safe for concurrent use.
type confirmation struct {
	at atomic.Pointer[time.Time]
}

// advance moves the time forward. It never goes back.
func (c *confirmation) advance(at time.Time) {
	for {
		old := c.at.Load()
		if old != nil && !at.After(*old) || c.at.CompareAndSwap(old, &at) {
			return
		}
	}
}

// time returns the time, or zero before the first confirmation.
func (c *confirmation) time() time.Time {
	if at := c.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *confirmation) age(now time.Time) time.Duration {
	if at := c.at.Load(); at != nil {
		return now.Sub(*at)
	}
	return unconfirmedAge
}
