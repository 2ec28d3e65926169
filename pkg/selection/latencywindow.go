package selection

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowBuckets  = 5
	bucketDuration = 2 * time.Second
	// refreshInterval is how often the buckets are merged, since a merge is expensive.
	refreshInterval = 100 * time.Millisecond
	// minSamples is the least number of latencies for which quantiles are computed.
	minSamples = 20

	latencyUnit   = 10 * time.Microsecond
	latencyMax    = time.Minute
	latencyDigits = 2
)

// latencyWindow is a histogram of attempt latencies over the last
// windowBuckets * bucketDuration.
type latencyWindow struct {
	window       *hdrhistogram.WindowedHistogram
	lastRotation time.Time
	lastRefresh  time.Time
	merged       *hdrhistogram.Histogram
	quantiles    map[float64]time.Duration // quantiles of merged computed so far
}

func newLatencyWindow() latencyWindow {
	highest := int64(latencyMax / latencyUnit)
	return latencyWindow{
		window:    hdrhistogram.NewWindowed(windowBuckets, 1, highest, latencyDigits),
		quantiles: make(map[float64]time.Duration),
	}
}

func (w *latencyWindow) record(latency time.Duration, now time.Time) {
	w.rotate(now)
	value := min(max(int64(latency/latencyUnit), 1), int64(latencyMax/latencyUnit))
	// RecordValue cannot fail because the value is within the histogram's range.
	_ = w.window.Current.RecordValue(value)
	tooFew := w.merged == nil || w.merged.TotalCount() < minSamples
	if tooFew || now.Sub(w.lastRefresh) >= refreshInterval {
		w.lastRefresh = now
		w.merged = w.window.Merge()
		clear(w.quantiles)
	}
}

func (w *latencyWindow) rotate(now time.Time) {
	if w.lastRotation.IsZero() {
		w.lastRotation = now
	}
	for i := 0; i < windowBuckets && now.Sub(w.lastRotation) >= bucketDuration; i++ {
		w.window.Rotate()
		w.lastRotation = w.lastRotation.Add(bucketDuration)
	}
	if now.Sub(w.lastRotation) >= bucketDuration {
		w.lastRotation = now
	}
}

// quantile returns a quantile of the latencies, or false if there are fewer than
// minSamples.
func (w *latencyWindow) quantile(q float64) (time.Duration, bool) {
	if w.merged == nil || w.merged.TotalCount() < minSamples {
		return 0, false
	}
	if cached, ok := w.quantiles[q]; ok {
		return cached, true
	}
	value := time.Duration(w.merged.ValueAtQuantile(q*100)) * latencyUnit
	w.quantiles[q] = value
	return value, true
}
