package forward

import "time"

// Stages holds how long the stages of a request took. A stage that the request has not
// reached has no duration. The stages follow one another except for Wait, which is part of
// FirstPart or LastPart.
type Stages struct {
	Read      time.Duration // from the end of the header until the body was read
	FanOut    time.Duration // until the first attempts were started or put on hold
	Wait      time.Duration // from the start of the fan-out until the last first attempt that had to wait was started
	FirstPart time.Duration // from the end of the fan-out until the first reply
	LastPart  time.Duration // from the first reply until the last one in the answer
	Merge     time.Duration // of the parts of the answer
	Write     time.Duration // until the answer was handed to the network
}

// stageClock takes the times of the stages of one request that is being forwarded.
type stageClock struct {
	began     time.Time // start of the fan-out
	fannedOut time.Time // end of the fan-out
	firstPart time.Time
	lastPart  time.Time
}

// recordPart records that a reply was accepted.
func (c *stageClock) recordPart(now time.Time) {
	if c.firstPart.IsZero() {
		c.firstPart = now
	}
	c.lastPart = now
}

// recordStart records the start of a first attempt. Those that start after the fan-out had to
// wait.
func (c *stageClock) recordStart(stages *Stages, now time.Time) {
	if !c.fannedOut.IsZero() {
		stages.Wait = now.Sub(c.began)
	}
}

// finish computes the durations of the stages between the times taken.
func (c *stageClock) finish(stages *Stages) {
	stages.FanOut = between(c.began, c.fannedOut)
	stages.FirstPart = between(c.fannedOut, c.firstPart)
	stages.LastPart = between(c.firstPart, c.lastPart)
}

func between(from, to time.Time) time.Duration {
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return max(to.Sub(from), 0)
}
