package selection

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowParts    = 5
	windowPartTime = 2 * time.Second
	// refreshTime bounds the cost of merging the window.
	refreshTime = 100 * time.Millisecond
	// minSamples is the least number of latencies that quantiles are based on.
	minSamples = 20

	latencyUnit   = 10 * time.Microsecond
	latencyMax    = time.Minute
	latencyDigits = 2
)

// latencyWindow is the distribution of attempt latencies over the last
// windowParts * windowPartTime.
type latencyWindow struct {
	window    *hdrhistogram.WindowedHistogram
	rotated   time.Time
	refreshed time.Time
	merged    *hdrhistogram.Histogram
	quantiles map[float64]time.Duration // of merged
}

func newLatencyWindow() latencyWindow {
	highest := int64(latencyMax / latencyUnit)
	return latencyWindow{
		window:    hdrhistogram.NewWindowed(windowParts, 1, highest, latencyDigits),
		quantiles: make(map[float64]time.Duration),
	}
}

func (w *latencyWindow) record(latency time.Duration, now time.Time) {
	w.rotate(now)
	value := min(max(int64(latency/latencyUnit), 1), int64(latencyMax/latencyUnit))
	// The value is within the histogram's range, so that recording cannot fail.
	_ = w.window.Current.RecordValue(value)
	few := w.merged == nil || w.merged.TotalCount() < minSamples
	if few || now.Sub(w.refreshed) >= refreshTime {
		w.refreshed = now
		w.merged = w.window.Merge()
		clear(w.quantiles)
	}
}

func (w *latencyWindow) rotate(now time.Time) {
	if w.rotated.IsZero() {
		w.rotated = now
	}
	for i := 0; i < windowParts && now.Sub(w.rotated) >= windowPartTime; i++ {
		w.window.Rotate()
		w.rotated = w.rotated.Add(windowPartTime)
	}
	if now.Sub(w.rotated) >= windowPartTime {
		w.rotated = now
	}
}

// quantile returns false while there are too few latencies.
func (w *latencyWindow) quantile(q float64) (time.Duration, bool) {
	if w.merged == nil || w.merged.TotalCount() < minSamples {
		return 0, false
	}
	if known, ok := w.quantiles[q]; ok {
		return known, true
	}
	value := time.Duration(w.merged.ValueAtQuantile(q*100)) * latencyUnit
	w.quantiles[q] = value
	return value, true
}
