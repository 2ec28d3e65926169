package demo

import (
	"bytes"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"
)

func runFake(t *testing.T, instance *fakeInstance, fault string) (*Report, error) {
	t.Helper()
	return runFakeFor(t, instance, fault, 30)
}

func runFakeFor(t *testing.T, instance *fakeInstance, fault string, queries int) (*Report, error) {
	t.Helper()
	var out bytes.Buffer
	command := Command{Queries: queries, Fault: fault, Deployment: "office", Output: "json", Seed: 3, Out: &out, Start: instance.start}
	err := command.Execute(nil)
	var report Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &report), "%v", err)
	return &report, err
}

// Guards against a harness that reports violations of correct answers.
func TestHonestInstancesPass(t *testing.T) {
	for _, fault := range []string{"none", "replica-loss"} {
		report, err := runFake(t, &fakeInstance{}, fault)
		assert.NilError(t, err, "%v", report.Problems)
		assert.Equal(t, report.Queries, 30)
		assert.Equal(t, report.Complete+report.Partial+report.Failed, 30)
		assert.Equal(t, report.Shards, 52)
		assert.Equal(t, report.Instances, 7)
		if fault == "replica-loss" {
			assert.Assert(t, report.Partial > 0 && report.MinCoverage < 1)
		}
	}
}

// Guards against a harness that overlooks broken invariants.
func TestLyingInstancesAreCaught(t *testing.T) {
	cases := map[string]struct {
		instance fakeInstance
		fault    string
		count    func(*Report) int
	}{
		"wrong hits":      {fakeInstance{wrongHits: true}, "none", func(r *Report) int { return r.WrongAnswers }},
		"hidden loss":     {fakeInstance{hideLoss: true}, "replica-loss", func(r *Report) int { return r.FalseCoverage }},
		"run twice":       {fakeInstance{runTwice: true}, "none", func(r *Report) int { return r.DuplicateExecutions }},
		"refused but run": {fakeInstance{denyRun: true}, "none", func(r *Report) int { return r.RefusedButRun }},
	}
	for name, lie := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report, err := runFake(t, &lie.instance, lie.fault)
			assert.Assert(t, errors.Is(err, ErrViolated), "%v", err)
			assert.Assert(t, lie.count(report) > 0)
		})
	}
}

// Guards against a harness that overlooks answers with data of two snapshots. The fake asks
// one shard for the snapshot before the pinned one, which servers keep only for a short time
// after a change: on a busy machine all queries of a run may come too late for the lie.
func TestMixedSnapshotsAreCaught(t *testing.T) {
	t.Parallel()
	const maxRuns = 5
	for range maxRuns {
		var mixed atomic.Int32
		report, err := runFake(t, &fakeInstance{mixVersions: true, mixed: &mixed}, "repartition")
		if mixed.Load() == 0 {
			continue
		}
		assert.Assert(t, errors.Is(err, ErrViolated), "%v", err)
		assert.Assert(t, report.MixedSnapshots+report.FalseCoverage > 0)
		assert.Equal(t, report.MixedSnapshots+report.FalseCoverage+report.WrongAnswers, int(mixed.Load()))
		return
	}
	t.Fatalf("no answer held mixed snapshots in %d runs", maxRuns)
}

// Guards against instances that go on sending to a leaving backend server
// unnoticed. The fake always asks the first replica; the queries go on for more
// than the drain's grace.
func TestWorkAfterDrainIsCaught(t *testing.T) {
	t.Parallel()
	report, err := runFakeFor(t, &fakeInstance{}, "drain", 90)
	assert.Assert(t, errors.Is(err, ErrViolated), "%v", err)
	assert.Assert(t, report.WorkAfterDrain > 0)
	assert.Equal(t, report.WorkAfterDrain, report.Violations(), "%v", report.Problems)
}

// Guards against wrong flags that are run or reported as failures.
func TestUsageErrors(t *testing.T) {
	for _, command := range []Command{
		{Queries: 0, Fault: "none", Deployment: "office", Output: "text"},
		{Queries: 1, Fault: "flood", Deployment: "office", Output: "text"},
		{Queries: 1, Fault: "none", Deployment: "home", Output: "text"},
		{Queries: 1, Fault: "none", Deployment: "office", Output: "xml"},
	} {
		var usage *flags.Error
		assert.Assert(t, errors.As(command.Execute(nil), &usage))
	}
}

// Guards against invariants that real instances break under faults. Counts of
// refusals are not checked, as they depend on the machine's speed.
func TestInstancesKeepInvariants(t *testing.T) {
	for _, fault := range []string{"none", "replica-loss", "wrong-replies", "crashing-request", "combined"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			command := Command{Queries: 45, Fault: fault, Deployment: "agenda-serena", Output: "json", Seed: 2, Out: &out}
			assert.NilError(t, command.Execute(nil), "%s", out.String())
			var report Report
			assert.NilError(t, json.Unmarshal(out.Bytes(), &report))
			assert.Assert(t, report.Complete > 0)
			assert.Equal(t, report.Complete+report.Partial+report.Refused+report.Failed, 45)
		})
	}
}
