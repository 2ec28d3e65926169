package extras

import "time"

// bucket counts one part of the window.
type bucket struct {
	requests float64
	extras   float64
}

// window is a ring of buckets. Requests count in the last buckets of them; extra
// arrivals also in the one before, which may lie partly in the window.
type window struct {
	step  time.Duration
	start time.Time // of the current bucket
	at    int       // current bucket
	ring  [buckets + 1]bucket
}

func (w *window) current() *bucket { return &w.ring[w.at] }

func (w *window) advance(now time.Time) {
	passed := int(now.Sub(w.start) / w.step)
	if passed <= 0 {
		return
	}
	for range min(passed, len(w.ring)) {
		w.at = (w.at + 1) % len(w.ring)
		w.ring[w.at] = bucket{}
	}
	w.start = w.start.Add(time.Duration(passed) * w.step)
}

func (w *window) extras() float64 {
	sum := 0.0
	for _, b := range w.ring {
		sum += b.extras
	}
	return sum
}

// requests leaves out the oldest bucket, so that the count is never too high.
func (w *window) requests() float64 {
	sum := 0.0
	for _, b := range w.ring {
		sum += b.requests
	}
	return sum - w.ring[(w.at+1)%len(w.ring)].requests
}
