package crashguard

// Outcome is how an attempt ended, as far as it matters here.
type Outcome int

// Outcomes of attempts.
const (
	OutcomeOther   Outcome = iota // refused, cancelled, timed out: proves nothing
	OutcomeOK                     // the server ran the request and replied
	OutcomeCrashed                // the connection was lost while the request was running
)
