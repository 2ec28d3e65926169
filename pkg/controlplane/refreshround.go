package controlplane

import (
	"context"
	"time"
)

// refreshRound collects the answers to the questions of one refresh. Only the
// goroutine that created it may use it.
type refreshRound struct {
	answers   chan bool // true confirms the documents
	asked     int
	answered  int
	confirmed int
}

// newRefreshRound returns a round of at most the given number of questions.
func newRefreshRound(questions int) *refreshRound {
	return &refreshRound{answers: make(chan bool, questions)}
}

// ask runs a question through spawn.
func (r *refreshRound) ask(spawn func(func()), question func() bool) {
	r.asked++
	spawn(func() { r.answers <- question() })
}

// majority is the number of confirmations that make up most of the questions.
func (r *refreshRound) majority() int {
	return r.asked/2 + 1
}

// collect takes answers until enough have confirmed, all have arrived, d has
// passed or ctx has ended.
func (r *refreshRound) collect(ctx context.Context, d time.Duration, enough int) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for r.confirmed < enough && r.answered < r.asked {
		if r.takeWaiting() {
			continue
		}
		select {
		case ok := <-r.answers:
			r.take(ok)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// takeWaiting takes an answer that has arrived already, so that it counts even
// when the time has passed as well.
func (r *refreshRound) takeWaiting() bool {
	select {
	case ok := <-r.answers:
		r.take(ok)
		return true
	default:
		return false
	}
}

func (r *refreshRound) take(ok bool) {
	r.answered++
	if ok {
		r.confirmed++
	}
}
