package entry

import (
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"gotest.tools/v3/assert"
)

func policyWith(rules ...bundle.Rule) bundle.Policy {
	return bundle.Policy{Team: "office", Service: "renewal-search", Class: "clerk", MinCoverage: 0.5, CrashLimit: 3, Rules: rules}
}

// Guards against a signed rule whose limit is ignored because the class or the
// service has a looser one.
func TestStricterLimitApplies(t *testing.T) {
	p := policyWith(
		bundle.Rule{Name: "whole", Kind: bundle.RuleCoverageBelow, Limit: 0.8},
		bundle.Rule{Name: "crash", Kind: bundle.RuleCrashSuspect, Limit: 2})
	assert.Equal(t, leastCoverage(p), 0.8)
	assert.Equal(t, crashLimit(p), 2)
	assert.Equal(t, leastCoverage(policyWith()), 0.5)
	assert.Equal(t, crashLimit(policyWith()), 3)
}

// Guards against a limit on requests in flight that leaks when a later rule
// refuses, so that the class would be refused for good.
func TestInFlightIsReleased(t *testing.T) {
	states := newRuleStates()
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	p := policyWith(
		bundle.Rule{Name: "two", Kind: bundle.RuleMaxInFlight, Limit: 2},
		bundle.Rule{Name: "one-a-second", Kind: bundle.RuleMaxRate, Limit: 1})
	leave, refused := states.enter(p, now)
	assert.Assert(t, refused == nil)
	for range 5 {
		_, refused = states.enter(p, now)
		assert.Equal(t, refused.Name, "one-a-second")
	}
	leave()
	_, refused = states.enter(p, now.Add(time.Second))
	assert.Assert(t, refused == nil)
}

// Guards against a newer bundle whose changed rate has no effect.
func TestChangedRateTakesEffect(t *testing.T) {
	states := newRuleStates()
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	admitted := func(limit float64) (n int) {
		p := policyWith(bundle.Rule{Name: "rate", Kind: bundle.RuleMaxRate, Limit: limit})
		for range 20 {
			if _, refused := states.enter(p, now); refused == nil {
				n++
			}
		}
		return n
	}
	assert.Equal(t, admitted(5), 5)
	admitted(10)
	now = now.Add(time.Second)
	assert.Equal(t, admitted(10), 10)
}
