package selection

import "time"

const (
	loadHalfLife = time.Second
	// A service becomes overloaded when the share of shed attempts reaches
	// shedRatioStart, and stays so until the share is below shedRatioStop. The
	// hysteresis keeps the state from changing with every small change of load.
	shedRatioStart = 0.05
	shedRatioStop  = 0.02
	// queueRatioStart and queueRatioStop are the corresponding thresholds for the ratio
	// of the time in owners' queues to the service time.
	queueRatioStart = 2.0
	queueRatioStop  = 1.0
	// minAttempts is the least decayed number of attempts for which the ratios are
	// used.
	minAttempts = 10
)

// load detects overload of a service from shed attempts and queueing. Its sums decay with
// loadHalfLife.
type load struct {
	decayedAt      time.Time // time up to which the sums have decayed
	attempts       float64
	shed           float64
	queueSeconds   float64
	serviceSeconds float64
	overloaded     bool
}

func (l *load) record(o Observation, now time.Time) {
	l.age(now)
	l.attempts++
	if o.effect() == effectShed {
		l.shed++
	}
	if o.effect() == effectOK {
		l.queueSeconds += o.QueueTime.Seconds()
		l.serviceSeconds += o.serviceTime().Seconds()
	}
	l.updateOverloaded()
}

func (l *load) age(now time.Time) {
	if now.After(l.decayedAt) {
		weight := decay(now.Sub(l.decayedAt), loadHalfLife)
		l.attempts *= weight
		l.shed *= weight
		l.queueSeconds *= weight
		l.serviceSeconds *= weight
		l.decayedAt = now
	}
}

func (l *load) updateOverloaded() {
	if l.attempts < minAttempts {
		l.overloaded = false
		return
	}
	shedRatio := l.shed / l.attempts
	queueRatio := 0.0
	if l.serviceSeconds > 0 {
		queueRatio = l.queueSeconds / l.serviceSeconds
	}
	if l.overloaded {
		l.overloaded = shedRatio >= shedRatioStop || queueRatio >= queueRatioStop
		return
	}
	l.overloaded = shedRatio >= shedRatioStart || queueRatio >= queueRatioStart
}
