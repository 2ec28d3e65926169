package controlplane

import (
	"context"
	"time"
)

// Places of the tasks in Plane.tasks.
const (
	taskRead = iota
	taskExchange
	taskPush
	taskFetch
)

// task is one repeated activity of the plane. step does what is due and returns
// the pause until the next step; a wake ends the pause. Tests call step
// themselves, on a virtual clock.
type task struct {
	name  string
	step  func(ctx context.Context) time.Duration
	awake chan struct{} // holds one element after wake
}

func newTask(name string, step func(ctx context.Context) time.Duration) *task {
	return &task{name: name, step: step, awake: make(chan struct{}, 1)}
}

// wake ends the current or the next pause.
func (t *task) wake() {
	select {
	case t.awake <- struct{}{}:
	default:
	}
}

// run steps until ctx ends.
func (t *task) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.awake:
		case <-timer.C:
		}
		timer.Reset(t.step(ctx))
	}
}
