package oracle

import "fmt"

// ProblemKind names the invariant that an answer breaks.
type ProblemKind string

// Kinds of problems.
const (
	WrongAnswer        ProblemKind = "wrong-answer"        // not the hits of this request
	MixedSnapshots     ProblemKind = "mixed-snapshots"     // data of more than one snapshot
	FalseCoverage      ProblemKind = "false-coverage"      // coverage differs from what the hits reflect
	DuplicateExecution ProblemKind = "duplicate-execution" // a submission ran more than once
	RefusedButRun      ProblemKind = "refused-but-run"     // a refusal says not-run, but it ran
	StaleBundle        ProblemKind = "stale-bundle"        // decided under a bundle that was replaced long before
	LostSubmission     ProblemKind = "lost-submission"     // reported as run, but it never ran
	WorkAfterDrain     ProblemKind = "work-after-drain"    // a leaving backend server received a new request
)

// Problem is one broken invariant.
type Problem struct {
	Kind    ProblemKind
	Request string // request id
	Detail  string
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: request %s: %s", p.Kind, p.Request, p.Detail)
}
