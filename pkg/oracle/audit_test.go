package oracle

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

var everything = Search{Team: "office", Service: "renewal-search", Query: "prefix:a", Limit: 20}

func newCheck() *SearchCheck {
	data := standin.NewDataset(7, "office", "renewal-search", 900, 6)
	return NewSearchCheck(data, func() []int64 { return []int64{1, 2} })
}

// rightAnswer returns the answer of snapshot 1 without the given partitions.
func rightAnswer(check *SearchCheck, search Search, missing ...int) Answer {
	manifest := check.data.Snapshot(1)
	answer := Answer{RequestID: "r1", Team: search.Team, Service: search.Service, Snapshot: 1}
	answer.Coverage.DocumentsTotal = manifest.Documents()
	answer.Coverage.Documents = manifest.Documents()
	for _, i := range missing {
		p := manifest.Partitions[i]
		answer.Coverage.Missing = append(answer.Coverage.Missing, Missing{Shard: p.Shard, From: p.From, To: p.To, Documents: p.Documents})
		answer.Coverage.Documents -= p.Documents
	}
	answer.Coverage.Fraction = float64(answer.Coverage.Documents) / float64(answer.Coverage.DocumentsTotal)
	answer.Coverage.Complete = len(missing) == 0
	answer.Hits = slices.Clone(check.Expected(search, 1, answer.Coverage.Missing))
	return answer
}

// Guards against false alarms: right answers, complete and partial, must pass.
func TestRightAnswersPass(t *testing.T) {
	check := newCheck()
	for _, query := range []string{"all", "prefix:a", "key:none", "all!crash"} {
		search := everything
		search.Query = query
		assert.Equal(t, len(check.Check(search, rightAnswer(check, search))), 0)
		assert.Equal(t, len(check.Check(search, rightAnswer(check, search, 0, 3))), 0)
	}
}

// Guards against an oracle that lets corrupted answers through: each
// corruption must be reported, and as the invariant that it breaks.
func TestCorruptedAnswersAreReported(t *testing.T) {
	corruptions := map[string]struct {
		corrupt func(*SearchCheck, *Answer)
		kind    ProblemKind
	}{
		"hit of another document": {func(_ *SearchCheck, a *Answer) { a.Hits[0].Document = a.Hits[1].Document }, WrongAnswer},
		"changed score":           {func(_ *SearchCheck, a *Answer) { a.Hits[0].Score += 0.5 }, WrongAnswer},
		"hits out of order":       {func(_ *SearchCheck, a *Answer) { a.Hits[0], a.Hits[1] = a.Hits[1], a.Hits[0] }, WrongAnswer},
		"repeated hit":            {func(_ *SearchCheck, a *Answer) { a.Hits[1] = a.Hits[0] }, WrongAnswer},
		"too many hits":           {func(_ *SearchCheck, a *Answer) { a.Hits = append(a.Hits, a.Hits[0]) }, WrongAnswer},
		"answer of another query": {func(c *SearchCheck, a *Answer) {
			a.Hits = c.Expected(Search{Query: "prefix:b", Limit: 20}, 1, nil)
		}, WrongAnswer},
		"another service":       {func(_ *SearchCheck, a *Answer) { a.Service = "school-portal" }, WrongAnswer},
		"unpublished snapshot":  {func(_ *SearchCheck, a *Answer) { a.Snapshot = 9 }, WrongAnswer},
		"hit of other snapshot": {func(c *SearchCheck, a *Answer) { a.Hits[2] = c.Expected(everything, 2, nil)[2] }, MixedSnapshots},
		"lost hit":              {func(_ *SearchCheck, a *Answer) { a.Hits = a.Hits[1:] }, FalseCoverage},
		"lost shard": {func(c *SearchCheck, a *Answer) {
			partial := rightAnswer(c, everything, 0)
			a.Hits = partial.Hits
		}, FalseCoverage},
		"hit in a missing range": {func(c *SearchCheck, a *Answer) {
			partial := rightAnswer(c, everything, 0)
			a.Coverage = partial.Coverage
		}, FalseCoverage},
		"total":          {func(_ *SearchCheck, a *Answer) { a.Coverage.DocumentsTotal++ }, FalseCoverage},
		"documents":      {func(_ *SearchCheck, a *Answer) { a.Coverage.Documents-- }, FalseCoverage},
		"fraction":       {func(_ *SearchCheck, a *Answer) { a.Coverage.Fraction = 0.5 }, FalseCoverage},
		"complete flag":  {func(_ *SearchCheck, a *Answer) { a.Coverage.Complete = false }, FalseCoverage},
		"unknown range":  {func(_ *SearchCheck, a *Answer) { a.Coverage.Missing = []Missing{{Shard: 1, From: "x"}} }, FalseCoverage},
		"repeated range": {func(c *SearchCheck, a *Answer) { *a = rightAnswer(c, everything, 0, 0) }, FalseCoverage},
	}
	for name, corruption := range corruptions {
		t.Run(name, func(t *testing.T) {
			check := newCheck()
			answer := rightAnswer(check, everything)
			assert.Assert(t, len(answer.Hits) > 3)
			corruption.corrupt(check, &answer)
			problems := check.Check(everything, answer)
			assert.Assert(t, slices.ContainsFunc(problems, func(p Problem) bool { return p.Kind == corruption.kind }), "%v", problems)
		})
	}
}

// Guards against submissions and refusals that are not compared with what was
// executed.
func TestExecutionsAreCompared(t *testing.T) {
	runs := &standin.RunLog{}
	audit := NewAudit(runs)
	runs.RecordSubmission("t1", "fee-ledger", "once")
	runs.RecordSubmission("t2", "fee-ledger", "twice")
	runs.RecordSubmission("t3", "fee-ledger", "twice")
	runs.RecordSubmission("t4", "fee-ledger", "denied")
	runs.RecordSubmission("t5", "fee-ledger", "unsure")
	runs.RecordSearch("s1")
	runs.RecordAfterDrain("renewal-search-s00-r0")

	audit.Submission("fee-ledger", "k", "once", "r1", Unknown, "")
	audit.Submission("fee-ledger", "k", "once", "r2", Run, standin.SubmissionResult("k", "once"))
	audit.Submission("fee-ledger", "k", "denied", "r3", NotRun, "")
	audit.Submission("fee-ledger", "k", "unsure", "r4", Unknown, "")
	audit.Submission("fee-ledger", "k", "unsure", "r5", NotRun, "")
	audit.Submission("fee-ledger", "k", "lost", "r6", Run, standin.SubmissionResult("k", "lost"))
	audit.Submission("fee-ledger", "k", "once", "r7", Run, standin.SubmissionResult("k", "other"))
	audit.Refusal("s1", NotRun)
	audit.Refusal("s2", NotRun)
	audit.Finish()

	assert.Equal(t, audit.Count(DuplicateExecution), 1)
	assert.Equal(t, audit.Count(RefusedButRun), 2)
	assert.Equal(t, audit.Count(LostSubmission), 1)
	assert.Equal(t, audit.Count(WrongAnswer), 1)
	assert.Equal(t, audit.Count(WorkAfterDrain), 1)
	assert.Equal(t, audit.Total(), 6)
}

// Guards against answers under a replaced bundle that go unnoticed, and against
// false alarms while a bundle is on its way or its delivery can't be confirmed.
func TestReplacedBundlesAreNoticed(t *testing.T) {
	var log BundleLog
	published := time.Unix(100, 0)
	log.Published(1, published.Add(-time.Hour))
	log.Published(2, published)
	late := published.Add(BundleDelay + time.Millisecond)
	assert.Equal(t, len(log.Check(Answer{BundleVersion: 1}, published.Add(BundleDelay))), 0)
	assert.Equal(t, len(log.Check(Answer{BundleVersion: 1, StaleView: true}, late)), 0)
	assert.Equal(t, len(log.Check(Answer{BundleVersion: 2}, late)), 0)
	problems := log.Check(Answer{BundleVersion: 1}, late)
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].Kind, StaleBundle)
}
