package controlplane

import (
	"context"
	"time"
)

// Indexes into Plane.tasks.
const (
	taskRead = iota
	taskExchange
	taskPush
	taskFetch
)

// task runs one repeated activity of the plane. step does the work that is due and
// returns the pause before the next step, which wake cuts short. Tests call step
// directly, on a virtual clock.
type task struct {
	name       string
	step       func(ctx context.Context) time.Duration
	wakeSignal chan struct{} // capacity 1; holds an element from a wake until the next step
}

func newTask(name string, step func(ctx context.Context) time.Duration) *task {
	return &task{name: name, step: step, wakeSignal: make(chan struct{}, 1)}
}

// wake ends the current pause. If step is running, the pause after it is skipped.
func (t *task) wake() {
	select {
	case t.wakeSignal <- struct{}{}:
	default:
	}
}

// run calls step repeatedly until ctx ends.
func (t *task) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wakeSignal:
		case <-timer.C:
		}
		timer.Reset(t.step(ctx))
	}
}
