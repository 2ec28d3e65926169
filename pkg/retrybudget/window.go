package retrybudget

import "time"

// bucket holds the counts of one part of the window.
type bucket struct {
	requests      float64
	extraAttempts float64
}

// window is a ring of bucketCount+1 buckets. Requests in the oldest bucket do not
// count, but its extra attempts do, because part of it may lie in the window.
type window struct {
	bucketLength time.Duration
	currentStart time.Time // start of the current bucket
	currentIndex int       // index of the current bucket
	buckets      [bucketCount + 1]bucket
}

func (w *window) current() *bucket { return &w.buckets[w.currentIndex] }

func (w *window) advance(now time.Time) {
	passed := int(now.Sub(w.currentStart) / w.bucketLength)
	if passed <= 0 {
		return
	}
	for range min(passed, len(w.buckets)) {
		w.currentIndex = (w.currentIndex + 1) % len(w.buckets)
		w.buckets[w.currentIndex] = bucket{}
	}
	w.currentStart = w.currentStart.Add(time.Duration(passed) * w.bucketLength)
}

func (w *window) extraAttempts() float64 {
	sum := 0.0
	for _, b := range w.buckets {
		sum += b.extraAttempts
	}
	return sum
}

// requests leaves out the oldest bucket, so that the sum is never too high.
func (w *window) requests() float64 {
	sum := 0.0
	for _, b := range w.buckets {
		sum += b.requests
	}
	return sum - w.buckets[(w.currentIndex+1)%len(w.buckets)].requests
}
