package selection

import "time"

// successesToReset is the number of consecutive successes after which the next ejection
// of a replica counts as its first again.
const successesToReset = 20

// ejection holds the ejection state and the failure history of one replica.
type ejection struct {
	until                time.Time // the replica is ejected before this time
	count                int       // ejections since the last successesToReset consecutive successes
	consecutiveFailures  int
	consecutiveSuccesses int
}

func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

func (e *ejection) recordSuccess() {
	e.consecutiveFailures = 0
	e.consecutiveSuccesses++
	if e.consecutiveSuccesses >= successesToReset {
		e.count = 0
	}
}

// recordFailure counts a failure and reports whether the replica must be ejected. After an
// ejection a single failure is enough, so that a replica that still fails costs only one
// attempt.
func (e *ejection) recordFailure(failuresToEject int) bool {
	e.consecutiveSuccesses = 0
	e.consecutiveFailures++
	return e.consecutiveFailures >= failuresToEject || e.count > 0
}

// eject starts an ejection. Its duration doubles with each ejection counted.
func (e *ejection) eject(c Config, now time.Time) {
	duration := c.EjectTime
	for i := 0; i < e.count && duration < c.MaxEjectTime; i++ {
		duration *= 2
	}
	e.until = now.Add(min(duration, c.MaxEjectTime))
	e.count++
	e.consecutiveFailures = 0
	e.consecutiveSuccesses = 0
}
