package experiment

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

// tally collects the measurements of one arm. It is safe for concurrent use.
type tally struct {
	mu          sync.Mutex
	measured    time.Duration // guarded by mu, like all below
	offered     map[string]int
	good        map[string]int
	refused     map[string]int
	failed      map[string]int
	latency     *hdrhistogram.Histogram // of answers, in microseconds
	round       *hdrhistogram.Histogram // of the round in progress
	rounds      []Round                 // ended
	coverageSum float64
	coverageMin float64
	answers     int // of searches
	attempts    int
	shards      int
}

func newTally() *tally {
	return &tally{
		offered:     map[string]int{},
		good:        map[string]int{},
		refused:     map[string]int{},
		failed:      map[string]int{},
		latency:     newLatency(),
		round:       newLatency(),
		coverageMin: 1,
	}
}

func newLatency() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortestLatency.Microseconds(), longestLatency.Microseconds(), latencyDigits)
}

// endRound closes the histogram of a round.
func (t *tally) endRound() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rounds = append(t.rounds, Round{P50Ms: percentileMs(t.round, 50), P99Ms: percentileMs(t.round, 99)})
	t.round.Reset()
}

func (t *tally) offer(list []arrival, length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.measured += length
	for _, next := range list {
		t.offered[next.request.Class.Name]++
	}
}

// add counts a reply. It is good when it is an answer that keeps the deadline
// and the least coverage of the request's class.
func (t *tally) add(request fleet.Request, reply fleet.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch reply.Outcome {
	case fleet.Refused:
		t.refused[reply.Reason]++
		return
	case fleet.Failed:
		t.failed[reply.Reason]++
		return
	}
	latency := min(reply.Latency, longestLatency).Microseconds()
	_ = t.latency.RecordValue(latency)
	_ = t.round.RecordValue(latency)
	if isGood(request.Class, reply) {
		t.good[request.Class.Name]++
	}
	if reply.Answer != nil {
		t.addAnswer(reply)
	}
}

func isGood(class fleet.Class, reply fleet.Reply) bool {
	if reply.Answer != nil && reply.Answer.Coverage.Fraction < class.MinCoverage {
		return false
	}
	return reply.Latency <= class.Deadline
}

func (t *tally) addAnswer(reply fleet.Reply) {
	t.answers++
	t.coverageSum += reply.Answer.Coverage.Fraction
	t.coverageMin = min(t.coverageMin, reply.Answer.Coverage.Fraction)
	t.attempts += reply.Answer.Attempts
	t.shards += reply.Answer.Shards
}
