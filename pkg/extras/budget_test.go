package extras

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Allowance: 54, Window: 10 * time.Second}

type event struct {
	at    time.Time
	extra bool
}

// allowedBy is the platform's count: the requests of the window that ends at the
// time, of the one before it or of the one half a window earlier, whichever has
// most.
func allowedBy(events []event, end time.Time) (extra, allowed float64) {
	count := func(end time.Time, extra bool) float64 {
		n := 0.0
		for _, e := range events {
			if e.extra == extra && !e.at.After(end) && e.at.After(end.Add(-limits.Window)) {
				n++
			}
		}
		return n
	}
	most := max(count(end, false), count(end.Add(-limits.Window/2), false), count(end.Add(-limits.Window), false))
	return count(end, true), limits.Ratio*most + limits.Allowance
}

// Guards against extra load beyond the platform's bound when every instance spends
// what it may, with traffic that moves between instances.
func TestInstancesTogetherKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 8).Draw(t, "instances")
		now := time.Unix(1000, 0)
		budgets := make([]*Budget, instances)
		for i := range budgets {
			budgets[i] = New(limits, func() float64 { return 1 / float64(instances) })
		}
		var events []event
		phases := rapid.SliceOfN(rapid.IntRange(0, 12), 3, 8).Draw(t, "requests per step")
		for _, perStep := range phases {
			for range 25 {
				now = now.Add(100 * time.Millisecond)
				for n := range perStep {
					budgets[n%instances].Request("s", now)
					events = append(events, event{at: now})
				}
				for _, b := range budgets {
					for range 3 {
						if b.Spend("s", now) {
							events = append(events, event{at: now, extra: true})
						}
					}
				}
				extra, allowed := allowedBy(events, now)
				assert.Assert(t, extra <= allowed, "%v extra, %v allowed", extra, allowed)
			}
		}
	})
}

// Guards against a budget that cannot be used: hedges for one request in twenty
// are always allowed under steady traffic.
func TestSteadyTrafficCanHedge(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(limits, func() float64 { return 1.0 / 7 })
	denied := 0
	for n := range 2000 {
		now = now.Add(70 * time.Millisecond)
		b.Request("s", now)
		if n%20 == 0 && !b.Spend("s", now) {
			denied++
		}
	}
	assert.Equal(t, denied, 0)
}

// Guards against charging attempts that have reached no server.
func TestReturnedExtraCanBeSpentAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Limits{Ratio: 0.2, Allowance: 2 / allowanceShare, Window: 10 * time.Second}, func() float64 { return 1 })
	assert.Assert(t, b.Spend("s", now))
	assert.Assert(t, b.Spend("s", now))
	assert.Assert(t, !b.Spend("s", now))
	b.Return("s", now)
	assert.Assert(t, b.Spend("s", now))
	now = now.Add(11 * time.Second)
	assert.Assert(t, b.Spend("s", now))
}
