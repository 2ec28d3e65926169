package admission

import (
	"math"
	"time"
)

const (
	// waitHalfLife makes the recent wait decay while no requests arrive. A rule
	// that refuses requests on it would otherwise never stop refusing.
	waitHalfLife = time.Second
	// waitWeight is the weight of a new sample.
	waitWeight = 0.1
)

// recentWait is a moving average of waits that decays over time.
type recentWait struct {
	average time.Duration
	updated time.Time
}

func (w *recentWait) record(wait time.Duration, now time.Time) {
	current := w.current(now)
	w.average = current + time.Duration(waitWeight*float64(wait-current))
	w.updated = now
}

func (w *recentWait) current(now time.Time) time.Duration {
	if w.average == 0 || !now.After(w.updated) {
		return w.average
	}
	halvings := float64(now.Sub(w.updated)) / float64(waitHalfLife)
	return time.Duration(float64(w.average) * math.Exp2(-halvings))
}
