package experiment

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// arms returns the measurements with their names in the output.
func (r *Result) arms() []namedMeasurement {
	return []namedMeasurement{{"policy", r.Policy}, {"baseline", r.Baseline}, {"no_fault", r.NoFault}}
}

type namedMeasurement struct {
	arm string
	Measurement
}

// WriteJSON writes the result as one object.
func (r *Result) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteCSV writes one row per arm.
func (r *Result) WriteCSV(out io.Writer) error {
	writer := csv.NewWriter(out)
	rows := [][]string{{
		"scenario", "seed", "arm", "name", "offered", "goodput", "p50_ms", "p99_ms", "p999_ms", "p50_median_ms", "p99_median_ms",
		"coverage_mean", "coverage_min", "attempts_per_shard_query", "refused", "failed", "invariant_breaks",
	}}
	for _, m := range r.arms() {
		rows = append(rows, []string{
			r.Scenario, strconv.FormatUint(r.Seed, 10), m.arm, m.Name,
			number(m.Offered), number(m.Goodput), number(m.P50Ms), number(m.P99Ms), number(m.P999Ms), number(m.P50MedianMs), number(m.P99MedianMs),
			number(m.CoverageMean), number(m.CoverageMin), number(m.AttemptsPerShardQuery),
			strconv.Itoa(sum(m.RefusedByReason)), strconv.Itoa(sum(m.FailedByReason)), strconv.Itoa(m.InvariantBreaks),
		})
	}
	return writer.WriteAll(rows)
}

// WriteText writes a table for people.
func (r *Result) WriteText(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "scenario %s, seed %d\n\n", r.Scenario, r.Seed)
	fmt.Fprintf(&text, "%-26s %14s %14s %14s\n", "", "policy", "baseline", "no fault")
	row := func(label string, value func(Measurement) string) {
		fmt.Fprintf(&text, "%-26s %14s %14s %14s\n", label, value(r.Policy), value(r.Baseline), value(r.NoFault))
	}
	row("name", func(m Measurement) string { return m.Name })
	row("offered /s", func(m Measurement) string { return number(m.Offered) })
	row("goodput /s", func(m Measurement) string { return number(m.Goodput) })
	for _, class := range slices.Sorted(maps.Keys(r.Policy.GoodputByClass)) {
		row("  "+class, func(m Measurement) string {
			return number(m.GoodputByClass[class]) + "/" + number(m.OfferedByClass[class])
		})
	}
	row("p50 ms", func(m Measurement) string { return number(m.P50Ms) })
	row("p99 ms", func(m Measurement) string { return number(m.P99Ms) })
	row("p99.9 ms", func(m Measurement) string { return number(m.P999Ms) })
	row("p50 ms, median of rounds", func(m Measurement) string { return number(m.P50MedianMs) })
	row("p99 ms, median of rounds", func(m Measurement) string { return number(m.P99MedianMs) })
	row("coverage mean", func(m Measurement) string { return fmt.Sprintf("%.5f", m.CoverageMean) })
	row("coverage least", func(m Measurement) string { return fmt.Sprintf("%.5f", m.CoverageMin) })
	row("attempts per shard", func(m Measurement) string { return fmt.Sprintf("%.4f", m.AttemptsPerShardQuery) })
	row("refused", func(m Measurement) string { return strconv.Itoa(sum(m.RefusedByReason)) })
	row("failed", func(m Measurement) string { return strconv.Itoa(sum(m.FailedByReason)) })
	row("backend searches", func(m Measurement) string { return strconv.FormatInt(m.Backend.Searches, 10) })
	row("backend cancelled", func(m Measurement) string { return strconv.FormatInt(m.Backend.Cancelled, 10) })
	row("connections opened", func(m Measurement) string { return strconv.FormatInt(m.Backend.OpenedConnections, 10) })
	row("connections over limit", func(m Measurement) string { return strconv.FormatInt(m.Backend.OverLimit, 10) })
	row("restarts", func(m Measurement) string { return strconv.Itoa(m.Restarts) })
	row("invariant breaks", func(m Measurement) string { return strconv.Itoa(m.InvariantBreaks) })
	r.writeDetails(&text)
	_, err := io.WriteString(out, text.String())
	return err
}

func (r *Result) writeDetails(text *strings.Builder) {
	for _, m := range r.arms() {
		for _, reason := range slices.Sorted(maps.Keys(m.RefusedByReason)) {
			fmt.Fprintf(text, "%s: %d refused: %s\n", m.arm, m.RefusedByReason[reason], reason)
		}
		for _, reason := range slices.Sorted(maps.Keys(m.FailedByReason)) {
			fmt.Fprintf(text, "%s: %d failed: %s\n", m.arm, m.FailedByReason[reason], reason)
		}
		for _, problem := range m.Problems {
			fmt.Fprintf(text, "%s: %s\n", m.arm, problem)
		}
	}
}

func number(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }

func sum(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
