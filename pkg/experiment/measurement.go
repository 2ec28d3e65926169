package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Measurement is what one arm achieved. Rates are per second of the measured
// time.
type Measurement struct {
	Name                  string             `json:"name"`
	Offered               float64            `json:"offered"`
	OfferedByClass        map[string]float64 `json:"offered_by_class"`
	Goodput               float64            `json:"goodput"` // answers that keep their class's deadline and coverage
	GoodputByClass        map[string]float64 `json:"goodput_by_class"`
	P50Ms                 float64            `json:"p50_ms"` // of all answers
	P99Ms                 float64            `json:"p99_ms"`
	P999Ms                float64            `json:"p999_ms"`
	P50MedianMs           float64            `json:"p50_median_ms"` // median of the rounds; less sensitive to a busy machine
	P99MedianMs           float64            `json:"p99_median_ms"`
	Rounds                []Round            `json:"rounds"`
	Restarts              int                `json:"restarts"` // of instances
	CoverageMean          float64            `json:"coverage_mean"`
	CoverageMin           float64            `json:"coverage_min"`
	AttemptsPerShardQuery float64            `json:"attempts_per_shard_query"`
	RefusedByReason       map[string]int     `json:"refused_by_reason"`
	FailedByReason        map[string]int     `json:"failed_by_reason"`
	// Backend counts what the backend servers saw, warm-up included.
	Backend         standin.BackendStats `json:"backend"`
	InvariantBreaks int                  `json:"invariant_breaks"`
	Problems        []string             `json:"problems"`
}

// measurement ends the arm: executions are compared with what callers were
// told.
func (a *arm) measurement() Measurement {
	audit := a.fleet.Audit
	audit.Finish()
	m := a.tally.measurement()
	m.Name = a.policy.Name
	m.InvariantBreaks = audit.Total()
	m.Restarts = a.fleet.Restarts()
	m.Backend = a.fleet.Deployment.Stats()
	m.Problems = []string{}
	for _, problem := range audit.Problems() {
		m.Problems = append(m.Problems, problem.String())
	}
	return m
}

func (t *tally) measurement() Measurement {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := Measurement{
		OfferedByClass:  t.rates(t.offered),
		GoodputByClass:  t.rates(t.good),
		P50Ms:           percentileMs(t.latency, 50),
		P99Ms:           percentileMs(t.latency, 99),
		P999Ms:          percentileMs(t.latency, 99.9),
		P50MedianMs:     median(t.rounds, func(r Round) float64 { return r.P50Ms }),
		P99MedianMs:     median(t.rounds, func(r Round) float64 { return r.P99Ms }),
		Rounds:          t.rounds,
		CoverageMin:     t.coverageMin,
		RefusedByReason: t.refused,
		FailedByReason:  t.failed,
	}
	for class := range t.offered {
		m.Offered += m.OfferedByClass[class]
		m.Goodput += m.GoodputByClass[class]
	}
	if t.answers > 0 {
		m.CoverageMean = t.coverageSum / float64(t.answers)
	}
	if t.shards > 0 {
		m.AttemptsPerShardQuery = float64(t.attempts) / float64(t.shards)
	}
	return m
}

// rates returns a rate for each class that was offered, also when it is 0.
func (t *tally) rates(counts map[string]int) map[string]float64 {
	rates := map[string]float64{}
	for class := range t.offered {
		rates[class] = float64(counts[class]) / t.measured.Seconds()
	}
	return rates
}

func percentileMs(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtPercentile(percent)) / float64(time.Millisecond.Microseconds())
}

// median returns the lower median of a value over the rounds, 0 for none.
func median(rounds []Round, value func(Round) float64) float64 {
	if len(rounds) == 0 {
		return 0
	}
	values := make([]float64, 0, len(rounds))
	for _, round := range rounds {
		values = append(values, value(round))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
