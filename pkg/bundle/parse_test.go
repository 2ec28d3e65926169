package bundle

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func payload(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/full.yaml")
	assert.NilError(t, err)
	return data
}

// Guards against fields that the parser reads into the wrong place or drops.
func TestParseReadsEveryField(t *testing.T) {
	b, err := Parse("full.yaml", payload(t))
	assert.NilError(t, err)
	assert.Equal(t, b.Version, int64(7))
	assert.DeepEqual(t, b.Platform, Platform{MaxDeadline: 10 * time.Second, MaxHedgeBudget: 0.05, MaxCrashLimit: 2})
	assert.DeepEqual(t, b.Teams[0].Services[0], Service{
		Name: "renewal-search", Kind: KindSearch, Slots: 2, Connections: 25, Deadline: 2 * time.Second,
		Hedge:  Hedge{Quantile: 0.95, Budget: 0.05},
		Canary: Canary{Enabled: true, MaxWait: 50 * time.Millisecond}, CrashLimit: 2,
	})
	assert.DeepEqual(t, b.Teams[0].Classes[0], Class{
		Name: "inspector", MinCoverage: 0.9, Deadline: 500 * time.Millisecond, Services: []string{"renewal-search"},
		Rules: []Rule{{Name: "inspector-rate", Kind: RuleMaxRate, Limit: 200}},
	})
	assert.Equal(t, b.Teams[0].Callers[1].Class, "clerk")
}

// Guards against findings that hide each other or state a wrong place: the
// golden file lists all of a document with many problems.
func TestParseReportsAllFindings(t *testing.T) {
	data, err := os.ReadFile("testdata/broken.yaml")
	assert.NilError(t, err)
	_, err = Parse("broken.yaml", data)
	golden.Assert(t, err.Error()+"\n", "broken.findings")
}
