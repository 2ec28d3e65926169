package telemetry

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of a Histogram. From 1 µs to 10 min with two significant
// digits, a histogram needs about 24 KiB. Larger values are recorded as the maximum.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits   = 2
)

// Histogram records the distribution of durations since its creation. It implements
// expvar.Var and is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram // in µs; guarded by mu
}

// HistogramSummary is the published form of a Histogram. Times are in µs.
type HistogramSummary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_us"`
	P50   int64   `json:"p50_us"`
	P90   int64   `json:"p90_us"`
	P99   int64   `json:"p99_us"`
	P999  int64   `json:"p999_us"`
	Max   int64   `json:"max_us"`
}

// NewHistogram returns an empty histogram that is not published.
func NewHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)}
}

// Record counts one duration. Negative durations count as 0.
func (h *Histogram) Record(d time.Duration) {
	us := min(max(d.Microseconds(), 0), highestMicroseconds)
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is inside the range, so RecordValue cannot fail.
	_ = h.values.RecordValue(us)
}

// Quantile returns the duration below which the fraction q (0 to 1) of the
// recorded durations lies, or 0 when nothing has been recorded.
func (h *Histogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.values.ValueAtQuantile(q*100)) * time.Microsecond
}

// Summary returns a consistent summary of the durations recorded so far.
func (h *Histogram) Summary() HistogramSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HistogramSummary{
		Count: h.values.TotalCount(),
		Mean:  h.values.Mean(),
		P50:   h.values.ValueAtQuantile(50),
		P90:   h.values.ValueAtQuantile(90),
		P99:   h.values.ValueAtQuantile(99),
		P999:  h.values.ValueAtQuantile(99.9),
		Max:   h.values.Max(),
	}
}

// String returns the summary as a JSON object.
func (h *Histogram) String() string {
	text, err := json.Marshal(h.Summary())
	if err != nil {
		return "null"
	}
	return string(text)
}
