package controlplane

import (
	"context"
	"time"
)

// refreshRound counts the replies to the requests of one refresh. Only the
// goroutine that created it may use it.
type refreshRound struct {
	replies   chan bool // true if the reply confirms the documents
	requests  int
	received  int
	confirmed int
}

// newRefreshRound returns a round for at most maxRequests requests. The buffer of
// replies keeps goroutines from blocking when their reply is no longer collected.
func newRefreshRound(maxRequests int) *refreshRound {
	return &refreshRound{replies: make(chan bool, maxRequests)}
}

// ask starts a request through spawn. request returns whether the reply confirms
// the documents.
func (r *refreshRound) ask(spawn func(func()), request func() bool) {
	r.requests++
	spawn(func() { r.replies <- request() })
}

// majority returns the smallest number of confirmations that is more than half of
// the requests.
func (r *refreshRound) majority() int {
	return r.requests/2 + 1
}

// collect counts replies until needed of them have confirmed the documents, all
// have arrived, the timeout has passed or ctx has ended.
func (r *refreshRound) collect(ctx context.Context, timeout time.Duration, needed int) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for r.confirmed < needed && r.received < r.requests {
		if r.recordArrived() {
			continue
		}
		select {
		case ok := <-r.replies:
			r.record(ok)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// recordArrived counts one reply that has already arrived and reports whether there
// was one. Checking this first counts the reply even when the timeout has passed
// at the same time.
func (r *refreshRound) recordArrived() bool {
	select {
	case ok := <-r.replies:
		r.record(ok)
		return true
	default:
		return false
	}
}

func (r *refreshRound) record(confirmed bool) {
	r.received++
	if confirmed {
		r.confirmed++
	}
}
