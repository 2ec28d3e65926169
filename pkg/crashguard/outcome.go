package crashguard

// Outcome is the result of an attempt, as far as it tells whether the request
// crashes servers.
type Outcome int

// Outcomes of attempts.
const (
	OutcomeInconclusive Outcome = iota // refused, cancelled or timed out: tells nothing about the request
	OutcomeOK                          // the server ran the request and replied
	OutcomeCrashed                     // the connection was lost while the request was running
)
