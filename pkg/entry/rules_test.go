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

// Guards against a signed rule that has no effect because the class or the
// service has a looser limit.
func TestStricterLimitApplies(t *testing.T) {
	p := policyWith(
		bundle.Rule{Name: "whole", Kind: bundle.RuleCoverageBelow, Limit: 0.8},
		bundle.Rule{Name: "crash", Kind: bundle.RuleCrashSuspect, Limit: 2})
	assert.Equal(t, requiredCoverage(p), 0.8)
	assert.Equal(t, crashLimit(p), 2)
	assert.Equal(t, requiredCoverage(policyWith()), 0.5)
	assert.Equal(t, crashLimit(policyWith()), 3)
}

// Guards against an in-flight count that is not released when a later rule
// refuses the request. The class would then be refused forever.
func TestInFlightIsReleased(t *testing.T) {
	states := newRuleLimiters()
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	p := policyWith(
		bundle.Rule{Name: "two", Kind: bundle.RuleMaxInFlight, Limit: 2},
		bundle.Rule{Name: "one-a-second", Kind: bundle.RuleMaxRate, Limit: 1})
	leave, refused := states.acquire(p, now)
	assert.Assert(t, refused == nil)
	for range 5 {
		_, refused = states.acquire(p, now)
		assert.Equal(t, refused.Name, "one-a-second")
	}
	leave()
	_, refused = states.acquire(p, now.Add(time.Second))
	assert.Assert(t, refused == nil)
}

// Guards against a rate limit that keeps its old value under a newer bundle.
func TestChangedRateTakesEffect(t *testing.T) {
	states := newRuleLimiters()
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	admitted := func(limit float64) (n int) {
		p := policyWith(bundle.Rule{Name: "rate", Kind: bundle.RuleMaxRate, Limit: limit})
		for range 20 {
			if _, refused := states.acquire(p, now); refused == nil {
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
