package admission

import "time"

// Reason tells why a request was refused.
type Reason string

// Reasons of refusal.
const (
	ReasonDeadline  Reason = "deadline"   // cannot be served before its deadline
	ReasonQueueFull Reason = "queue-full" // all waiting requests come first
	ReasonDisplaced Reason = "displaced"  // gave its place in a full queue to a request that comes first
	ReasonCancelled Reason = "cancelled"  // the caller gave up while it waited
)

// ShedError refuses a request that has not run.
type ShedError struct {
	Reason Reason
	Wait   time.Duration // estimated or actual wait
	Cause  error         // the context's error, or nil
}

// Error names the reason.
func (e *ShedError) Error() string {
	return "not admitted: " + string(e.Reason) + " (wait " + e.Wait.String() + ")"
}

// Unwrap returns the context's error, if one was the cause.
func (e *ShedError) Unwrap() error { return e.Cause }
