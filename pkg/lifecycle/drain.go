package lifecycle

import (
	"context"
	"time"
)

// drain is the one shutdown of an instance.
type drain struct {
	done chan struct{} // closed when err is set
	err  error
}

// Drain ends the service: readiness fails, requests go on being served during
// the load balancer's delay and until none is in flight and no ticket is live,
// then the state is Closed. The error is a *DrainError when the drain timeout or
// ctx ends first. Later calls wait for the first one and return its result.
func (l *Lifecycle) Drain(ctx context.Context) error {
	current, first := l.beginDrain()
	if !first {
		<-current.done
		return current.err
	}
	defer close(current.done)
	l.config.OnDraining()
	current.err = l.waitAndClose(ctx)
	return current.err
}

func (l *Lifecycle) beginDrain() (current *drain, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drain != nil {
		return l.drain, false
	}
	l.state = Draining
	l.drain = &drain{done: make(chan struct{})}
	return l.drain, true
}

func (l *Lifecycle) waitAndClose(ctx context.Context) error {
	if !sleep(ctx, l.config.LoadBalancerDelay) {
		return l.forceClose()
	}
	ctx, cancel := context.WithTimeout(ctx, l.config.DrainTimeout)
	defer cancel()
	for !l.closeIfIdle() {
		if !l.waitForChange(ctx) {
			return l.forceClose()
		}
	}
	return nil
}

func (l *Lifecycle) waitForChange(ctx context.Context) bool {
	poll := time.NewTimer(pollInterval)
	defer poll.Stop()
	select {
	case <-l.idle:
	case <-poll.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// sleep returns false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
