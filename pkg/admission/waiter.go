package admission

import "time"

// waiter is a request in the queue. All fields but done are guarded by the
// queue's mutex until done is closed, and constant afterwards.
type waiter struct {
	request Request
	entered time.Time
	done    chan struct{} // closed when granted or shed
	err     *ShedError    // nil when granted
}
