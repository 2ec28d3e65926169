package forward

import "time"

// Refusal tells the caller that no backend server has answered the request.
type Refusal struct {
	Reason Reason
	// NotRun guarantees that no backend server has run the request or will run it.
	NotRun bool
	// RetryAfter is how long the caller should wait before it tries again. It is set only
	// together with NotRun.
	RetryAfter time.Duration
	Detail     string // the figures behind the refusal, for logs
}
