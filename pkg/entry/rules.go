package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"golang.org/x/time/rate"
)

// ruleKey names the state of one rule of one class.
type ruleKey struct {
	team, service, class, rule string
}

// ruleState is the limiter behind a rate or in-flight rule.
type ruleState struct {
	limiter  *rate.Limiter
	inFlight int // guarded by ruleStates.mu
}

// ruleStates holds the states of all rules. It is safe for concurrent use.
type ruleStates struct {
	mu     sync.Mutex
	states map[ruleKey]*ruleState // guarded by mu
}

func newRuleStates() *ruleStates {
	return &ruleStates{states: make(map[ruleKey]*ruleState)}
}

// enter counts a request against the class's in-flight rules and rate rules.
// The first rule that refuses is returned; otherwise leave must be called when
// the request ends.
func (rs *ruleStates) enter(p bundle.Policy, now time.Time) (leave func(), refused *bundle.Rule) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var entered []*ruleState
	for i := range p.Rules {
		rule := &p.Rules[i]
		state := rs.state(p, rule)
		if !state.admits(rule, now) {
			refused = rule
			break
		}
		state.inFlight++
		entered = append(entered, state)
	}
	leave = func() { rs.leave(entered) }
	if refused != nil {
		release(entered)
	}
	return leave, refused
}

func (rs *ruleStates) leave(entered []*ruleState) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	release(entered)
}

func release(entered []*ruleState) {
	for _, state := range entered {
		state.inFlight--
	}
}

// state returns the state of a rule; the caller holds rs.mu.
func (rs *ruleStates) state(p bundle.Policy, rule *bundle.Rule) *ruleState {
	key := ruleKey{team: p.Team, service: p.Service, class: p.Class, rule: rule.Name}
	state, ok := rs.states[key]
	if !ok {
		state = &ruleState{limiter: rate.NewLimiter(rate.Limit(rule.Limit), max(1, int(rule.Limit)))}
		rs.states[key] = state
	}
	return state
}

// admits applies a rule that needs only the instance's own counts. Other kinds
// are applied where their quantity is known.
func (s *ruleState) admits(rule *bundle.Rule, now time.Time) bool {
	switch rule.Kind {
	case bundle.RuleMaxInFlight:
		return s.inFlight < int(rule.Limit)
	case bundle.RuleMaxRate:
		// A newer bundle may have changed the limit.
		if s.limiter.Limit() != rate.Limit(rule.Limit) {
			s.limiter.SetLimitAt(now, rate.Limit(rule.Limit))
			s.limiter.SetBurstAt(now, max(1, int(rule.Limit)))
		}
		return s.limiter.AllowN(now, 1)
	default:
		return true
	}
}

// leastCoverage returns the coverage below which the class gets no answer: the
// class's minimum, or the limit of a coverage rule when that is stricter.
func leastCoverage(p bundle.Policy) float64 {
	rule := findRule(p, bundle.RuleCoverageBelow)
	if rule == nil {
		return p.MinCoverage
	}
	return max(p.MinCoverage, rule.Limit)
}

// crashLimit returns the number of backend servers that one request may crash:
// the service's limit, or that of a crash rule when it is stricter.
func crashLimit(p bundle.Policy) int {
	rule := findRule(p, bundle.RuleCrashSuspect)
	if rule == nil || rule.Limit < 1 {
		return p.CrashLimit
	}
	if p.CrashLimit == 0 {
		return int(rule.Limit)
	}
	return min(p.CrashLimit, int(rule.Limit))
}

// findRule returns the class's first rule of a kind, or nil.
func findRule(p bundle.Policy, kind bundle.RuleKind) *bundle.Rule {
	for i := range p.Rules {
		if p.Rules[i].Kind == kind {
			return &p.Rules[i]
		}
	}
	return nil
}

// byRule returns a refusal that names a signed rule.
func byRule(p bundle.Policy, rule *bundle.Rule, run RunStatement, detail string) *Refusal {
	return &Refusal{
		Refused: true,
		Run:     run,
		Status:  http.StatusTooManyRequests,
		Reason: Reason{
			Kind:          ReasonRule,
			Rule:          rule.Name,
			BundleVersion: p.BundleVersion,
			Signer:        rule.Signer,
			Detail:        detail,
		},
		RetryAfterMs: retryAfterMs,
	}
}
