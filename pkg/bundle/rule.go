package bundle

// RuleKind names the condition under which a rule refuses a request.
type RuleKind string

// Kinds of refusal rules. Limit is in the unit that the name states.
const (
	RuleMaxRate       RuleKind = "max_rate"           // requests per second and instance
	RuleMaxInFlight   RuleKind = "max_in_flight"      // requests per instance
	RuleQueueWaitOver RuleKind = "queue_wait_over_ms" // recent queue wait at the owners
	RuleCoverageBelow RuleKind = "coverage_below"     // fraction of documents
	RuleCrashSuspect  RuleKind = "crash_suspect"      // backend servers crashed by the request
)

// Rule is one refusal rule of a class. Signer is the person who signed the
// section that holds the rule.
type Rule struct {
	Name   string
	Kind   RuleKind
	Limit  float64
	Signer string
}
