package bundle

import (
	"math"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Class is a group of callers whose requests are treated alike.
type Class struct {
	Name        string
	Priority    int           // 0 is served first
	MinCoverage float64       // least fraction of documents, 0 to 1
	Deadline    time.Duration // of the whole request; the service's applies when shorter
	Services    []string      // that the class may use
	Rules       []Rule        // refusal rules, in order
}

const lowestPriority = 15

func parseClass(v yamldoc.Value, p Platform, services map[string]bool) Class {
	var c Class
	o := v.Object()
	o.Required("name").Match(&c.Name, namePattern, nameRule)
	o.Required("priority").Int(&c.Priority, yamldoc.Range[int]{Max: lowestPriority})
	o.Required("min_coverage").Float(&c.MinCoverage, yamldoc.Range[float64]{Max: 1})
	o.Required("deadline").Duration(&c.Deadline, yamldoc.Range[time.Duration]{Min: shortestDeadline, Max: p.MaxDeadline})
	o.Required("services").Strings(&c.Services, func(item yamldoc.Value, name string) {
		if !services[name] {
			item.Fail("the team has no service %q", name)
		}
	})
	c.Rules = parseRules(o.Optional("rules"))
	o.Close()
	return c
}

func parseRules(v yamldoc.Value) []Rule {
	var rules []Rule
	names := newNames("rule")
	for _, item := range v.Items() {
		rules = append(rules, parseRule(item, names))
	}
	return rules
}

func parseRule(v yamldoc.Value, names *names) Rule {
	var r Rule
	o := v.Object()
	name := o.Required("name")
	name.Match(&r.Name, namePattern, nameRule)
	names.add(name, r.Name)
	yamldoc.OneOf(o.Required("kind"), &r.Kind,
		RuleMaxRate, RuleMaxInFlight, RuleQueueWaitOver, RuleCoverageBelow, RuleCrashSuspect)
	limit := o.Required("limit")
	limit.Float(&r.Limit, limitRange(r.Kind))
	if r.Kind.counts() && r.Limit != math.Trunc(r.Limit) {
		limit.Fail("%v is not a whole number", r.Limit)
	}
	o.Close()
	return r
}

// counts reports whether the rule's limit is a number of things.
func (k RuleKind) counts() bool {
	return k == RuleMaxInFlight || k == RuleCrashSuspect
}

const (
	smallestRate    = 0.001
	largestLimit    = 1e6
	longestWaitMS   = 60_000
	smallestWaitMS  = 1
	smallestPortion = 0.0001
)

// limitRange returns the limits that make sense for a kind. An unknown kind
// has its own finding and takes any limit.
func limitRange(kind RuleKind) yamldoc.Range[float64] {
	switch kind {
	case RuleMaxRate:
		return yamldoc.Range[float64]{Min: smallestRate, Max: largestLimit}
	case RuleMaxInFlight:
		return yamldoc.Range[float64]{Min: 1, Max: largestLimit}
	case RuleQueueWaitOver:
		return yamldoc.Range[float64]{Min: smallestWaitMS, Max: longestWaitMS}
	case RuleCoverageBelow:
		return yamldoc.Range[float64]{Min: smallestPortion, Max: 1}
	case RuleCrashSuspect:
		return yamldoc.Range[float64]{Min: 1, Max: largestCrashLimit}
	}
	return yamldoc.Range[float64]{Min: math.Inf(-1), Max: math.Inf(1)}
}
