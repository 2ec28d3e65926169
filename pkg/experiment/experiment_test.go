package experiment

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/oracle"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Guards against arms that are compared under different arrivals.
func TestArrivalsDependOnTheSeedOnly(t *testing.T) {
	spec := standin.Office()
	first := arrivals(spec, 1, "x", 500, 4*time.Second)
	second := arrivals(spec, 1, "x", 500, 4*time.Second)
	assert.Equal(t, len(first), len(second))
	for i := range first {
		assert.Equal(t, first[i].at, second[i].at)
		assert.DeepEqual(t, first[i].request, second[i].request)
	}
	assert.Assert(t, len(first) > 1800 && len(first) < 2200, "%d arrivals", len(first))
	other := arrivals(spec, 2, "x", 500, 4*time.Second)
	assert.Assert(t, other[0].at != first[0].at)
}

// Guards against late, thin, refused and failed requests that count as goodput.
func TestGoodputCountsAnswersInTime(t *testing.T) {
	class := fleet.Class{Name: "clerk", Deadline: time.Second, MinCoverage: 0.4}
	request := fleet.Request{Class: class}
	half := &oracle.Answer{Attempts: 30, Shards: 20, Coverage: oracle.Coverage{Fraction: 0.5}}
	thin := &oracle.Answer{Attempts: 30, Shards: 20, Coverage: oracle.Coverage{Fraction: 0.3}}
	tally := newTally()
	tally.offer([]arrival{{request: request}, {request: request}, {request: request}, {request: request}}, 2*time.Second)
	tally.add(request, fleet.Reply{Outcome: fleet.Partial, Answer: half, Latency: 100 * time.Millisecond})
	tally.add(request, fleet.Reply{Outcome: fleet.Partial, Answer: thin, Latency: 100 * time.Millisecond})
	tally.add(request, fleet.Reply{Outcome: fleet.Complete, Latency: 1100 * time.Millisecond})
	tally.add(request, fleet.Reply{Outcome: fleet.Refused, Reason: "shortage:queue"})
	tally.add(request, fleet.Reply{Outcome: fleet.Failed, Reason: "no reply"})
	m := tally.measurement()
	assert.Equal(t, m.Offered, 2.0)
	assert.Equal(t, m.Goodput, 0.5)
	assert.Equal(t, m.GoodputByClass["clerk"], 0.5)
	assert.Equal(t, m.CoverageMin, 0.3)
	assert.Equal(t, m.AttemptsPerShardQuery, 1.5)
	assert.Equal(t, m.RefusedByReason["shortage:queue"], 1)
	assert.Equal(t, m.FailedByReason["no reply"], 1)
}

// Guards against a load that isn't the stated multiple of the capacity.
func TestOverloadIsTwiceTheCapacity(t *testing.T) {
	scenario, err := ScenarioByName("overload")
	assert.NilError(t, err)
	spec, err := scenario.spec()
	assert.NilError(t, err)
	assert.Equal(t, len(spec.Services), 1)
	assert.Equal(t, fleet.NewWorkload(spec, 1, "").Share(spec.Services[0].Name), 1.0)
	assert.Equal(t, scenario.Load/scenario.CalmLoad, 2.0)
	full := standin.Office().Services[0].Capacity()
	assert.Assert(t, math.Abs(spec.Services[0].Capacity()*4/full-1) < 1e-6)
	office, err := ScenarioByName("office")
	assert.NilError(t, err)
	whole, err := office.spec()
	assert.NilError(t, err)
	share := fleet.NewWorkload(whole, 1, "").Share(whole.Services[0].Name)
	assert.Assert(t, share > 0.4 && share < 0.6, "%f", share)
}

// Guards against outputs that lose an arm or a field.
func TestOutputs(t *testing.T) {
	result := &Result{Scenario: "office", Seed: 3}
	result.Baseline.Name = "direct"
	result.Policy.RefusedByReason = map[string]int{"rule:r": 2}
	var out bytes.Buffer
	assert.NilError(t, result.WriteCSV(&out))
	rows, err := csv.NewReader(&out).ReadAll()
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 4)
	assert.Equal(t, rows[2][3], "direct")
	out.Reset()
	assert.NilError(t, result.WriteJSON(&out))
	var object map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &object))
	for _, arm := range []string{"policy", "baseline", "no_fault"} {
		fields := object[arm].(map[string]any)
		for _, name := range []string{"name", "offered", "goodput", "goodput_by_class", "p50_ms", "p99_ms", "p999_ms", "coverage_mean", "coverage_min", "attempts_per_shard_query", "refused_by_reason", "invariant_breaks"} {
			_, ok := fields[name]
			assert.Assert(t, ok, "%s.%s", arm, name)
		}
	}
	assert.NilError(t, result.WriteText(&out))
}

// Guards against unknown names that are run as something else.
func TestUsageErrors(t *testing.T) {
	for _, command := range []Command{
		{Scenario: "flood", Policy: "owners", Baseline: "direct", Output: "text"},
		{Scenario: "office", Policy: "best", Baseline: "direct", Output: "text"},
		{Scenario: "office", Policy: "owners", Baseline: "worst", Output: "text"},
		{Scenario: "office", Policy: "owners", Baseline: "direct", Output: "xml"},
	} {
		var usage *flags.Error
		assert.Assert(t, errors.As(command.Execute(nil), &usage))
	}
}
