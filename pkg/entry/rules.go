package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"golang.org/x/time/rate"
)

// ruleKey identifies one rule of one class.
type ruleKey struct {
	team, service, class, rule string
}

// ruleLimiter counts requests against one rate rule or in-flight rule.
type ruleLimiter struct {
	rateLimiter *rate.Limiter
	inFlight    int // guarded by ruleLimiters.mu
}

// ruleLimiters holds the limiters of all rules. It is safe for concurrent use.
type ruleLimiters struct {
	mu     sync.Mutex
	byRule map[ruleKey]*ruleLimiter // guarded by mu
}

func newRuleLimiters() *ruleLimiters {
	return &ruleLimiters{byRule: make(map[ruleKey]*ruleLimiter)}
}

// acquire counts a request against the rate and in-flight rules of its class.
// It returns the first rule that refuses the request. If none does, the caller
// must call release when the request ends.
func (rs *ruleLimiters) acquire(p bundle.Policy, now time.Time) (release func(), refused *bundle.Rule) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var acquired []*ruleLimiter
	for i := range p.Rules {
		rule := &p.Rules[i]
		limiter := rs.limiterLocked(p, rule)
		if !limiter.allow(rule, now) {
			refused = rule
			break
		}
		limiter.inFlight++
		acquired = append(acquired, limiter)
	}
	release = func() { rs.release(acquired) }
	if refused != nil {
		decrementInFlight(acquired)
	}
	return release, refused
}

func (rs *ruleLimiters) release(acquired []*ruleLimiter) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	decrementInFlight(acquired)
}

func decrementInFlight(acquired []*ruleLimiter) {
	for _, limiter := range acquired {
		limiter.inFlight--
	}
}

// limiterLocked returns the limiter of a rule. The caller holds rs.mu.
func (rs *ruleLimiters) limiterLocked(p bundle.Policy, rule *bundle.Rule) *ruleLimiter {
	key := ruleKey{team: p.Team, service: p.Service, class: p.Class, rule: rule.Name}
	limiter, ok := rs.byRule[key]
	if !ok {
		limiter = &ruleLimiter{rateLimiter: rate.NewLimiter(rate.Limit(rule.Limit), max(1, int(rule.Limit)))}
		rs.byRule[key] = limiter
	}
	return limiter
}

// allow applies a rate or in-flight rule, which depend only on the counts of
// this instance. Rules of other kinds are applied where their quantity is known.
func (l *ruleLimiter) allow(rule *bundle.Rule, now time.Time) bool {
	switch rule.Kind {
	case bundle.RuleMaxInFlight:
		return l.inFlight < int(rule.Limit)
	case bundle.RuleMaxRate:
		// A newer bundle may have changed the limit.
		if l.rateLimiter.Limit() != rate.Limit(rule.Limit) {
			l.rateLimiter.SetLimitAt(now, rate.Limit(rule.Limit))
			l.rateLimiter.SetBurstAt(now, max(1, int(rule.Limit)))
		}
		return l.rateLimiter.AllowN(now, 1)
	default:
		return true
	}
}

// requiredCoverage returns the coverage below which the class gets no answer:
// the class's minimum, or the limit of a coverage rule if that is stricter.
func requiredCoverage(p bundle.Policy) float64 {
	rule := findRule(p, bundle.RuleCoverageBelow)
	if rule == nil {
		return p.MinCoverage
	}
	return max(p.MinCoverage, rule.Limit)
}

// crashLimit returns the number of backend servers that one request may crash:
// the service's limit, or that of a crash rule if it is stricter. Zero means that
// the bundle states no limit.
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

// ruleRefusal returns a refusal that names a signed rule.
func ruleRefusal(p bundle.Policy, rule *bundle.Rule, run RunStatement, detail string) *Refusal {
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
