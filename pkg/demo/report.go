package demo

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/oracle"
)

// Report is the outcome of a demonstration.
type Report struct {
	Deployment            string         `json:"deployment"`
	Fault                 string         `json:"fault"`
	Queries               int            `json:"queries"`
	Complete              int            `json:"complete"`
	Partial               int            `json:"partial"`
	Refused               int            `json:"refused"`
	Failed                int            `json:"failed"`
	WrongAnswers          int            `json:"wrong_answers"`
	MixedSnapshots        int            `json:"mixed_snapshots"`
	FalseCoverage         int            `json:"false_coverage"`
	DuplicateExecutions   int            `json:"duplicate_executions"`
	RefusedButRun         int            `json:"refused_but_run"`
	StaleBundles          int            `json:"stale_bundles"`
	LostSubmissions       int            `json:"lost_submissions"`
	WorkAfterDrain        int            `json:"work_after_drain"` // requests to leaving backend servers after the drain's grace
	MinCoverage           float64        `json:"min_coverage"`
	BundleVersion         int64          `json:"bundle_version"`
	Instances             int            `json:"instances"`
	Shards                int            `json:"shards"` // of all services
	P50Ms                 float64        `json:"p50_ms"`
	P99Ms                 float64        `json:"p99_ms"`
	AttemptsPerShardQuery float64        `json:"attempts_per_shard_query"`
	Reasons               map[string]int `json:"reasons"` // of refusals and failures
	Problems              []string       `json:"problems"`
	Description           string         `json:"-"` // of the fault
}

func (r *run) report() *Report {
	t := r.tally
	audit := r.fleet.Audit
	report := &Report{
		Deployment:          r.config.Deployment,
		Fault:               r.fault.Name,
		Description:         r.fault.Description,
		Queries:             r.config.Queries,
		Complete:            t.outcomes[fleet.Complete],
		Partial:             t.outcomes[fleet.Partial],
		Refused:             t.outcomes[fleet.Refused],
		Failed:              t.outcomes[fleet.Failed],
		WrongAnswers:        audit.Count(oracle.WrongAnswer),
		MixedSnapshots:      audit.Count(oracle.MixedSnapshots),
		FalseCoverage:       audit.Count(oracle.FalseCoverage),
		DuplicateExecutions: audit.Count(oracle.DuplicateExecution),
		RefusedButRun:       audit.Count(oracle.RefusedButRun),
		StaleBundles:        audit.Count(oracle.StaleBundle),
		LostSubmissions:     audit.Count(oracle.LostSubmission),
		WorkAfterDrain:      audit.Count(oracle.WorkAfterDrain),
		MinCoverage:         t.coverage,
		BundleVersion:       t.bundle,
		Instances:           r.fleet.Size(),
		P50Ms:               t.percentileMs(50),
		P99Ms:               t.percentileMs(99),
		Reasons:             t.reasons,
		Problems:            []string{},
	}
	for _, service := range r.fleet.Spec().Services {
		report.Shards += service.Shards
	}
	if t.shards > 0 {
		report.AttemptsPerShardQuery = float64(t.attempts) / float64(t.shards)
	}
	for _, problem := range audit.Problems() {
		report.Problems = append(report.Problems, problem.String())
	}
	return report
}

// Violations returns the number of broken invariants.
func (r *Report) Violations() int {
	return r.WrongAnswers + r.MixedSnapshots + r.FalseCoverage +
		r.DuplicateExecutions + r.RefusedButRun + r.LostSubmissions + r.StaleBundles + r.WorkAfterDrain
}

// WriteText writes the report for people.
func (r *Report) WriteText(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %d instances, %d shards, bundle version %d\n", r.Deployment, r.Instances, r.Shards, r.BundleVersion)
	fmt.Fprintf(&text, "fault: %s (%s)\n\n", r.Fault, r.Description)
	fmt.Fprintf(&text, "  %-22s %d\n", "queries", r.Queries)
	fmt.Fprintf(&text, "  %-22s %d\n", "complete answers", r.Complete)
	fmt.Fprintf(&text, "  %-22s %d (least coverage %.4f)\n", "partial answers", r.Partial, r.MinCoverage)
	fmt.Fprintf(&text, "  %-22s %d\n", "refused with reason", r.Refused)
	fmt.Fprintf(&text, "  %-22s %d\n", "failed", r.Failed)
	fmt.Fprintf(&text, "  %-22s p50 %.1f ms, p99 %.1f ms\n", "latency of answers", r.P50Ms, r.P99Ms)
	fmt.Fprintf(&text, "  %-22s %.3f\n", "attempts per shard", r.AttemptsPerShardQuery)
	r.writeReasons(&text)
	r.writeVerdict(&text)
	_, err := io.WriteString(out, text.String())
	return err
}

func (r *Report) writeReasons(text *strings.Builder) {
	reasons := make([]string, 0, len(r.Reasons))
	for reason := range r.Reasons {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		fmt.Fprintf(text, "  %5d x %s\n", r.Reasons[reason], reason)
	}
}

func (r *Report) writeVerdict(text *strings.Builder) {
	if r.Violations() == 0 {
		fmt.Fprint(text, "\nEvery answer was checked: no invariant was violated.\n")
		return
	}
	fmt.Fprintf(text, "\n%d invariant violations: %d wrong answers, %d mixed snapshots, %d false coverage, %d duplicate executions, %d refused but run, %d lost submissions, %d stale bundles, %d requests after drain\n",
		r.Violations(), r.WrongAnswers, r.MixedSnapshots, r.FalseCoverage, r.DuplicateExecutions, r.RefusedButRun, r.LostSubmissions, r.StaleBundles, r.WorkAfterDrain)
	for _, problem := range r.Problems {
		fmt.Fprintf(text, "  %s\n", problem)
	}
}
