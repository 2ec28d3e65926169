package retrybudget

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

// countAndBound returns the extra arrivals in the window that ends at end, and the
// number that the platform allows. The platform uses the requests of that window, of
// the one half a window earlier or of the one before it, whichever has most.
func countAndBound(events []event, end time.Time) (extra, allowed float64) {
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

// Guards against extra load above the platform's limit when every instance uses its
// whole budget and the traffic moves between instances.
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
					budgets[n%instances].CountRequest("s", now)
					events = append(events, event{at: now})
				}
				for _, b := range budgets {
					for range 3 {
						if b.Spend("s", now) {
							events = append(events, event{at: now, extra: true})
						}
					}
				}
				extra, allowed := countAndBound(events, now)
				assert.Assert(t, extra <= allowed, "%v extra, %v allowed", extra, allowed)
			}
		}
	})
}

// Guards against a budget that is too small to be useful: under steady traffic,
// hedges for one request in twenty must always be allowed.
func TestSteadyTrafficCanHedge(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(limits, func() float64 { return 1.0 / 7 })
	denied := 0
	for n := range 2000 {
		now = now.Add(70 * time.Millisecond)
		b.CountRequest("s", now)
		if n%20 == 0 && !b.Spend("s", now) {
			denied++
		}
	}
	assert.Equal(t, denied, 0)
}

// Guards against a budget that stays charged for attempts that reached no server.
func TestReturnedExtraCanBeSpentAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Limits{Ratio: 0.2, Allowance: 2 / allowanceShare, Window: 10 * time.Second}, func() float64 { return 1 })
	assert.Assert(t, b.Spend("s", now))
	assert.Assert(t, b.Spend("s", now))
	assert.Assert(t, !b.Spend("s", now))
	b.Refund("s", now)
	assert.Assert(t, b.Spend("s", now))
	now = now.Add(11 * time.Second)
	assert.Assert(t, b.Spend("s", now))
}
