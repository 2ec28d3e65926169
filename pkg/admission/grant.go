package admission

import (
	"sync/atomic"
	"time"
)

// Grant is a slot held by one running request.
type Grant struct {
	queue    *Queue
	wait     time.Duration
	released atomic.Bool
}

// Wait returns the time that the request waited in the queue.
func (g *Grant) Wait() time.Duration { return g.wait }

// Release frees the slot. serviceTime is the time that the backend server took,
// or 0 if it is unknown, for example after a cancellation. accepted is false if
// the server shed the request, which lowers the concurrency limit. Only the
// first call has an effect.
func (g *Grant) Release(serviceTime time.Duration, accepted bool) {
	if g.released.Swap(true) {
		return
	}
	g.queue.release(serviceTime, accepted)
}
