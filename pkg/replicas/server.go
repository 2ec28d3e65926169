package replicas

import (
	"math"
	"time"
)

const (
	// slownessWeight and faultWeight are the weights of a new sample.
	slownessWeight = 0.1
	faultWeight    = 0.15
	// sampleGrowth bounds a sample relative to the estimate, so that a single pause
	// of a server does not make it look slow for seconds, while a server that is
	// slow shows within some ten replies.
	sampleGrowth = 4.0
	// forgetHalfLife returns the view of a server to neutral, so that one that
	// has recovered gets requests again.
	forgetHalfLife = 3 * time.Second
	// faultHalfLife is longer: a server that refuses part of its requests costs an
	// attempt of a small budget whenever it is tried again.
	faultHalfLife = 10 * time.Second
	// misplacedFor is how long a server is left out after another one has answered
	// at its address. Such attempts count as load on the other one's service. The
	// list corrects the address within its lag.
	misplacedFor = 10 * time.Second
	// maxSlowness bounds what one sample can add.
	maxSlowness = 20.0

	// failuresToEject is the number of failures in a row that ejects a server.
	failuresToEject = 2
	// firstEjection doubles with each further one up to longestEjection. A server
	// that has crashed is back after some seconds.
	firstEjection   = 400 * time.Millisecond
	longestEjection = 3200 * time.Millisecond
)

// server is what is known of one backend server process.
type server struct {
	running  []*Attempt // by start
	slowness float64    // reply time over the usual one of the route; 1 is usual
	faults   float64    // share of attempts refused or failed
	updated  time.Time
	seen     time.Time // last chosen among

	failures  int // in a row
	ejections int // in a row
	ejected   time.Time
	limit     limit
	lastEnd   time.Time // of an attempt
	misplaced time.Time // last time that another server answered at the address
}

func newServer(now time.Time) *server { return &server{slowness: 1, updated: now, seen: now} }

// age moves the estimates towards neutral.
func (s *server) age(now time.Time) {
	s.limit.age(now)
	passed := now.Sub(s.updated)
	if passed <= 0 {
		return
	}
	s.slowness = 1 + (s.slowness-1)*decay(passed, forgetHalfLife)
	s.faults *= decay(passed, faultHalfLife)
	s.updated = now
}

// decay is the weight that remains of an observation after some time.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

func (s *server) recordSlowness(ratio float64) {
	ratio = min(ratio, maxSlowness, sampleGrowth*s.slowness)
	s.slowness += slownessWeight * (ratio - s.slowness)
}

// recordLate records an attempt without a reply, which tells only that the reply
// would have taken longer.
func (s *server) recordLate(ratio float64) {
	if ratio > s.slowness {
		s.recordSlowness(ratio)
	}
}

func (s *server) recordFault(fault bool) {
	sample := 0.0
	if fault {
		sample = 1
	}
	s.faults += faultWeight * (sample - s.faults)
}

func (s *server) fail(now time.Time) {
	s.failures++
	if s.failures < failuresToEject && s.ejections == 0 {
		return
	}
	if now.Before(s.ejected) {
		return
	}
	duration := firstEjection << min(s.ejections, 8)
	s.ejected = now.Add(min(duration, longestEjection))
	s.ejections++
}

func (s *server) succeed() {
	s.failures = 0
	s.ejections = 0
}

func (s *server) remove(a *Attempt) {
	for i, other := range s.running {
		if other == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return
		}
	}
}
