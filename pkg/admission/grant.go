package admission

import (
	"sync/atomic"
	"time"
)

// Grant is the right to run one request.
type Grant struct {
	queue    *Queue
	wait     time.Duration
	released atomic.Bool
}

// Wait is the time that the request waited in the queue.
func (g *Grant) Wait() time.Duration { return g.wait }

// Release gives the slot back. Service is the time that the backend server
// took, or 0 when it is unknown, for example after a cancellation. Ok is false
// when the server shed the request, which lowers the concurrency limit. Only
// the first call has an effect.
func (g *Grant) Release(service time.Duration, ok bool) {
	if g.released.Swap(true) {
		return
	}
	g.queue.release(service, ok)
}
