package admission

import "time"

// Reason states why a request was refused.
type Reason string

// Reasons of refusal.
const (
	ReasonDeadline  Reason = "deadline"   // the request cannot complete by its deadline
	ReasonQueueFull Reason = "queue-full" // the queue is full of requests that are served first
	ReasonDisplaced Reason = "displaced"  // a request that is served first took its place in the full queue
	ReasonCancelled Reason = "cancelled"  // the context was cancelled before a slot was granted
)

// ShedError reports that a request was refused and has not run.
type ShedError struct {
	Reason Reason
	Wait   time.Duration // estimated or actual wait
	Cause  error         // error of the request's context, or nil
}

// Error returns the reason and the wait.
func (e *ShedError) Error() string {
	return "not admitted: " + string(e.Reason) + " (wait " + e.Wait.String() + ")"
}

// Unwrap returns the error of the request's context if that ended the wait.
func (e *ShedError) Unwrap() error { return e.Cause }
