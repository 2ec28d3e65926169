package replicas

import (
	"math"
	"time"
)

const (
	// slownessWeight and errorWeight are the weights of a new sample in the moving averages.
	slownessWeight = 0.1
	errorWeight    = 0.15
	// maxSampleGrowth caps a sample at a multiple of the current estimate. A single
	// pause then does not make a server look slow for seconds, while a slow server
	// is recognised within about ten replies.
	maxSampleGrowth = 4.0
	// slownessHalfLife is how fast the slowness returns to neutral, so that a server
	// that has recovered gets requests again.
	slownessHalfLife = 3 * time.Second
	// errorHalfLife is longer than slownessHalfLife, because each trial of a server
	// that refuses requests costs an extra attempt from the small retry budget.
	errorHalfLife = 10 * time.Second
	// misdirectedExclusion is how long a server is not chosen after another server
	// answered at its address. Attempts there would load the other server's service.
	// The platform's list corrects the address after its usual delay.
	misdirectedExclusion = 10 * time.Second
	// maxSlowness caps a sample of the slowness.
	maxSlowness = 20.0

	// failuresToEject is the number of consecutive failures that ejects a server.
	failuresToEject = 2
	// firstEjection is the duration of the first ejection. Each consecutive ejection
	// lasts twice as long, up to maxEjection. A crashed server restarts within some
	// seconds.
	firstEjection = 400 * time.Millisecond
	maxEjection   = 3200 * time.Millisecond
)

// server is the observed state of one run of a backend server process.
type server struct {
	running  []*Attempt // by start time
	slowness float64    // moving average of reply time / typical latency of the route; 1 is neutral
	// usualRatio is a moving average of reply time / usual latency of the route. Unlike the
	// slowness it does not fall when all other servers become slower within a second.
	usualRatio float64
	errorRate  float64   // moving average of the share of attempts that were refused or failed
	decayedAt  time.Time // time up to which slowness and errorRate have decayed
	lastAccess time.Time // last time that the server was a candidate or got an attempt

	consecutiveFailures  int // reset by a reply
	consecutiveEjections int // reset by a reply
	ejectedUntil         time.Time
	limit                concurrencyLimit
	lastAttemptEnd       time.Time
	misdirectedAt        time.Time // when another server last answered at the address
	leaving              bool      // the server has said that it leaves
	rate                 rateLimit
	load                 statedLoad
	statedColdUntil      time.Time // until then the server is cold, as its replies say
	pausedUntil          time.Time // until then the server wants no requests from this instance
}

func newServer(now time.Time) *server {
	return &server{slowness: 1, usualRatio: 1, decayedAt: now, lastAccess: now}
}

// age lets the estimates decay towards neutral and lifts an outdated limit.
func (s *server) age(now time.Time) {
	s.limit.expire(now)
	passed := now.Sub(s.decayedAt)
	if passed <= 0 {
		return
	}
	s.slowness = 1 + (s.slowness-1)*decay(passed, slownessHalfLife)
	s.usualRatio = 1 + (s.usualRatio-1)*decay(passed, slownessHalfLife)
	s.errorRate *= decay(passed, errorHalfLife)
	s.decayedAt = now
}

// decay returns the remaining weight of an observation of the given age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

func (s *server) recordSlowness(ratio float64) { recordRatio(&s.slowness, ratio) }

// recordRatio records a sample in a moving average.
func recordRatio(average *float64, ratio float64) {
	ratio = min(ratio, maxSlowness, maxSampleGrowth**average)
	*average += slownessWeight * (ratio - *average)
}

// recordMinSlowness records the duration of an attempt that ended without a reply. The
// duration is a lower bound, so it can only raise the slowness.
func (s *server) recordMinSlowness(ratio float64) {
	if ratio > s.slowness {
		s.recordSlowness(ratio)
	}
}

func (s *server) recordError(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.errorRate += errorWeight * (sample - s.errorRate)
}

func (s *server) recordFailure(now time.Time) {
	s.consecutiveFailures++
	if s.consecutiveFailures < failuresToEject && s.consecutiveEjections == 0 {
		return
	}
	if now.Before(s.ejectedUntil) {
		return
	}
	duration := firstEjection << min(s.consecutiveEjections, 8)
	s.ejectedUntil = now.Add(min(duration, maxEjection))
	s.consecutiveEjections++
}

func (s *server) recordSuccess() {
	s.consecutiveFailures = 0
	s.consecutiveEjections = 0
}

// freeIn returns the expected time until the limit allows another attempt: the rest of the
// attempt that began first, or of the idle time that a limit below 1 requires.
func (s *server) freeIn(expected time.Duration, now time.Time) time.Duration {
	if len(s.running) > 0 {
		return max(expected-now.Sub(s.running[0].began), 0)
	}
	return max(time.Duration((1/s.limit.value-1)*float64(expected))-now.Sub(s.lastAttemptEnd), 0)
}

func (s *server) removeAttempt(a *Attempt) {
	for i, other := range s.running {
		if other == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return
		}
	}
}
