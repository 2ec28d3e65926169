package forward

import "time"

// Refusal ends a request without an answer of a backend server.
type Refusal struct {
	Reason Reason
	// NotRun promises that no backend server has run the request or will.
	NotRun bool
	// RetryAfter is when another try is worth while; only with NotRun.
	RetryAfter time.Duration
	Detail     string // the measured figures, for logs
}
