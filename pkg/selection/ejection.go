package selection

import "time"

// healthySuccesses in a row make a replica's next ejection a first one again.
const healthySuccesses = 20

// ejection is the failure history of one replica.
type ejection struct {
	until     time.Time // ejected before this
	times     int       // ejections since it was last healthy
	failures  int       // consecutive
	successes int       // consecutive
}

func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

func (e *ejection) succeed() {
	e.failures = 0
	e.successes++
	if e.successes >= healthySuccesses {
		e.times = 0
	}
}

// fail reports whether the replica has to be ejected. After an ejection one
// failure is enough, so that a replica that is still broken costs one attempt.
func (e *ejection) fail(limit int) bool {
	e.successes = 0
	e.failures++
	return e.failures >= limit || e.times > 0
}

// eject ejects for a time that doubles with each ejection in a row.
func (e *ejection) eject(c Config, now time.Time) {
	duration := c.EjectTime
	for i := 0; i < e.times && duration < c.MaxEjectTime; i++ {
		duration *= 2
	}
	e.until = now.Add(min(duration, c.MaxEjectTime))
	e.times++
	e.failures = 0
	e.successes = 0
}
