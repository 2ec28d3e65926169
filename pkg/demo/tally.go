package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
)

const (
	shortestLatency = time.Microsecond
	longestLatency  = 60 * time.Second
	latencyDigits   = 3
)

// tally counts replies. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	outcomes map[fleet.Outcome]int // guarded by mu, like all below
	reasons  map[string]int
	latency  *hdrhistogram.Histogram // of answers, in microseconds
	coverage float64                 // least of all answers
	attempts int
	shards   int
	bundle   int64 // newest version of all answers
}

func newTally() *tally {
	return &tally{
		outcomes: map[fleet.Outcome]int{},
		reasons:  map[string]int{},
		latency:  hdrhistogram.New(shortestLatency.Microseconds(), longestLatency.Microseconds(), latencyDigits),
		coverage: 1,
	}
}

func (t *tally) add(reply fleet.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[reply.Outcome]++
	if reply.Reason != "" {
		t.reasons[string(reply.Outcome)+": "+reply.Reason]++
	}
	if reply.Outcome == fleet.Complete || reply.Outcome == fleet.Partial {
		_ = t.latency.RecordValue(min(reply.Latency, longestLatency).Microseconds())
	}
	if reply.Answer == nil {
		return
	}
	t.coverage = min(t.coverage, reply.Answer.Coverage.Fraction)
	t.attempts += reply.Answer.Attempts
	t.shards += reply.Answer.Shards
	t.bundle = max(t.bundle, reply.Answer.BundleVersion)
}

func (t *tally) percentileMs(percent float64) float64 {
	return float64(t.latency.ValueAtPercentile(percent)) / float64(time.Millisecond.Microseconds())
}
