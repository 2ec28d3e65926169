package selection

import "time"

const (
	loadHalfLife = time.Second
	// The service counts as overloaded from shedStart on and until the
	// fraction of refused attempts is below shedStop. Two thresholds keep the
	// state from changing with every small change of load.
	shedStart = 0.05
	shedStop  = 0.02
	// queueStart and queueStop are the same for the time in owners' queues per
	// time of service.
	queueStart = 2.0
	queueStop  = 1.0
	// loadMinWeight is the least weight of recent attempts to judge by.
	loadMinWeight = 10
)

// load recognises overload of a service by refusals and queueing.
type load struct {
	at         time.Time
	attempts   float64
	shed       float64
	queued     float64 // seconds
	served     float64 // seconds
	overloaded bool
}

func (l *load) record(o Observation, now time.Time) {
	l.age(now)
	l.attempts++
	if o.effect() == effectShed {
		l.shed++
	}
	if o.effect() == effectOK {
		l.queued += o.Queue.Seconds()
		l.served += o.serviceTime().Seconds()
	}
	l.judge()
}

func (l *load) age(now time.Time) {
	if now.After(l.at) {
		weight := decay(now.Sub(l.at), loadHalfLife)
		l.attempts *= weight
		l.shed *= weight
		l.queued *= weight
		l.served *= weight
		l.at = now
	}
}

func (l *load) judge() {
	if l.attempts < loadMinWeight {
		l.overloaded = false
		return
	}
	shed := l.shed / l.attempts
	queue := 0.0
	if l.served > 0 {
		queue = l.queued / l.served
	}
	if l.overloaded {
		l.overloaded = shed >= shedStop || queue >= queueStop
		return
	}
	l.overloaded = shed >= shedStart || queue >= queueStart
}
