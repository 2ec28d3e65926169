package admission

import "time"

// waiter is a request in the queue. The queue's mutex guards shed until done is
// closed. After that the waiter does not change.
type waiter struct {
	request  Request
	enqueued time.Time
	done     chan struct{} // closed when granted or shed
	shed     *ShedError    // nil if a slot was granted
}
