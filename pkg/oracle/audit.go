package oracle

import (
	"fmt"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// maxKept bounds the problems that an audit keeps in full.
const maxKept = 100

// Audit collects the replies of a run and reports every broken invariant. It
// is safe for concurrent use.
type Audit struct {
	executions Executions
	Bundles    BundleLog

	mu          sync.Mutex
	checks      map[string]*SearchCheck        // guarded by mu; by service
	refused     []string                       // guarded by mu; request ids of searches reported as not run
	submissions map[submission]*submissionPast // guarded by mu
	counts      map[ProblemKind]int            // guarded by mu
	problems    []Problem                      // guarded by mu; at most maxKept
}

type submission struct{ service, payload string }

// submissionPast is what callers were told about one submission.
type submissionPast struct {
	request string
	run     int
	unknown int
	notRun  int
}

// NewAudit returns an audit against the executions of a deployment.
func NewAudit(executions Executions) *Audit {
	return &Audit{
		executions:  executions,
		checks:      map[string]*SearchCheck{},
		submissions: map[submission]*submissionPast{},
		counts:      map[ProblemKind]int{},
	}
}

// NewDeploymentAudit returns an audit of all services of a deployment.
func NewDeploymentAudit(deployment *standin.Deployment) *Audit {
	audit := NewAudit(deployment.Runs)
	for _, service := range deployment.Spec.Services {
		name := service.Name
		known := func() []int64 { return deployment.Known(name) }
		audit.AddService(name, NewSearchCheck(deployment.Data(name), known))
	}
	return audit
}

// AddService adds the check of one service.
func (a *Audit) AddService(service string, check *SearchCheck) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checks[service] = check
}

// Answer checks the answer of a search that was sent at the given time and
// returns what is wrong with it.
func (a *Audit) Answer(search Search, answer Answer, sent time.Time) []Problem {
	a.mu.Lock()
	check := a.checks[search.Service]
	a.mu.Unlock()
	if check == nil {
		return nil
	}
	problems := append(check.Check(search, answer), a.Bundles.Check(answer, sent)...)
	a.add(problems...)
	return problems
}

// Refusal records the refusal of a search.
func (a *Audit) Refusal(requestID string, run RunState) {
	if run != NotRun || requestID == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = append(a.refused, requestID)
}

// Submission records one reply to a submission. A submission that got no reply
// at all is recorded as Unknown. The result is checked when the reply says
// that the submission ran; what is wrong with it is returned.
func (a *Audit) Submission(service, key, payload, requestID string, run RunState, result string) []Problem {
	a.mu.Lock()
	past := a.submissions[submission{service, payload}]
	if past == nil {
		past = &submissionPast{request: requestID}
		a.submissions[submission{service, payload}] = past
	}
	switch run {
	case Run:
		past.run++
	case NotRun:
		past.notRun++
	default:
		past.unknown++
	}
	a.mu.Unlock()
	if run != Run || result == standin.SubmissionResult(key, payload) {
		return nil
	}
	problem := Problem{WrongAnswer, requestID, fmt.Sprintf("result %q is of another submission", result)}
	a.add(problem)
	return []Problem{problem}
}

// Finish compares what callers were told with what was executed. It is called
// while no request is in progress. After a call that found nothing it may be
// called again.
func (a *Audit) Finish() {
	a.finishSearches()
	a.finishSubmissions()
	for range a.executions.Duplicates() {
		a.add(Problem{DuplicateExecution, "", "a submission was executed more than once"})
	}
	a.finishDrains()
}

func (a *Audit) finishDrains() {
	for server, count := range a.executions.AfterDrain() {
		for range count {
			a.add(Problem{WorkAfterDrain, "", "backend server " + server + " received a request after the grace of its drain"})
		}
	}
}

func (a *Audit) finishSearches() {
	a.mu.Lock()
	refused := a.refused
	a.mu.Unlock()
	for _, requestID := range refused {
		if count := a.executions.Searches(requestID); count > 0 {
			a.add(Problem{RefusedButRun, requestID, fmt.Sprintf("the search ran on %d shards", count)})
		}
	}
}

func (a *Audit) finishSubmissions() {
	a.mu.Lock()
	submissions := a.submissions
	a.mu.Unlock()
	for s, past := range submissions {
		count := a.executions.Payloads(s.service, s.payload)
		if past.run > 0 && count == 0 {
			a.add(Problem{LostSubmission, past.request, "a submission reported as run was not executed"})
		}
		if past.run == 0 && past.unknown == 0 && count > 0 {
			a.add(Problem{RefusedButRun, past.request, "a submission reported as not run was executed"})
		}
	}
}

func (a *Audit) add(problems ...Problem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, problem := range problems {
		a.counts[problem.Kind]++
		if len(a.problems) < maxKept {
			a.problems = append(a.problems, problem)
		}
	}
}

// Count returns the number of problems of a kind.
func (a *Audit) Count(kind ProblemKind) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts[kind]
}

// Total returns the number of problems of all kinds.
func (a *Audit) Total() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0
	for _, count := range a.counts {
		total += count
	}
	return total
}

// Problems returns the first problems found.
func (a *Audit) Problems() []Problem {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Problem(nil), a.problems...)
}
