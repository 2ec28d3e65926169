package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Allowance: 54, Window: 10 * time.Second}

// longHistory is that of instances that have never been lost all at once.
func longHistory() time.Duration { return time.Hour }

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
			budgets[i] = New(limits, func() float64 { return 1 / float64(instances) }, longHistory)
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
	b := New(limits, func() float64 { return 1.0 / 7 }, longHistory)
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
	b := New(Limits{Ratio: 0.2, Allowance: 2 / allowanceShare, Window: 10 * time.Second}, func() float64 { return 1 }, longHistory)
	assert.Assert(t, b.Spend("s", now))
	assert.Assert(t, b.Spend("s", now))
	assert.Assert(t, !b.Spend("s", now))
	b.Refund("s", now)
	assert.Assert(t, b.Spend("s", now))
	now = now.Add(11 * time.Second)
	assert.Assert(t, b.Spend("s", now))
}

// Guards against a budget that is spent twice in one window: all instances are lost at once after
// they have spent what they could, and those that start know nothing of it.
func TestInstancesTogetherKeepTheBoundWhenAllAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 8).Draw(t, "instances")
		perStep := rapid.IntRange(0, 20).Draw(t, "requests per step")
		downTime := time.Duration(rapid.IntRange(0, 30).Draw(t, "down time, steps")) * 100 * time.Millisecond
		spendFrom := rapid.IntRange(0, 150).Draw(t, "first step with extra arrivals")
		now := time.Unix(1000, 0)
		var events []event
		play := func(steps, spendFrom int, history func() time.Duration) {
			budgets := make([]*Budget, instances)
			for i := range budgets {
				budgets[i] = New(limits, func() float64 { return 1 / float64(instances) }, history)
			}
			for step := range steps {
				now = now.Add(100 * time.Millisecond)
				for n := range perStep {
					budgets[n%instances].CountRequest("s", now)
					events = append(events, event{at: now})
				}
				for _, b := range budgets {
					for range 5 {
						if step >= spendFrom && b.Spend("s", now) {
							events = append(events, event{at: now, extra: true})
						}
					}
				}
				extra, allowed := countAndBound(events, now)
				assert.Assert(t, extra <= allowed, "%v extra, %v allowed", extra, allowed)
			}
		}
		play(150, spendFrom, longHistory)
		now = now.Add(downTime)
		started := now
		play(150, 0, func() time.Duration { return now.Sub(started) })
	})
}
