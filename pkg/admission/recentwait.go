package admission

import (
	"math"
	"time"
)

const (
	// waitHalfLife lets the recent wait fall when no request arrives any more;
	// otherwise a rule that refuses on it would never stop refusing.
	waitHalfLife = time.Second
	// waitWeight is the weight of a new sample.
	waitWeight = 0.1
)

// recentWait is a moving average of waits that decays with time.
type recentWait struct {
	value time.Duration
	at    time.Time
}

func (w *recentWait) record(wait time.Duration, now time.Time) {
	current := w.read(now)
	w.value = current + time.Duration(waitWeight*float64(wait-current))
	w.at = now
}

func (w *recentWait) read(now time.Time) time.Duration {
	if w.value == 0 || !now.After(w.at) {
		return w.value
	}
	halvings := float64(now.Sub(w.at)) / float64(waitHalfLife)
	return time.Duration(float64(w.value) * math.Exp2(-halvings))
}
