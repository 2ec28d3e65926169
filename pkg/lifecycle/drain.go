package lifecycle

import (
	"context"
	"time"
)

// drainResult is the result of the only drain of a Lifecycle. All callers of
// Drain share it.
type drainResult struct {
	done chan struct{} // closed when err is set
	err  error
}

// Drain stops the service. Readiness fails at once, but requests are still served
// for the load balancer's delay and then until none is in flight and no ticket is
// live; after the accept timeout new ones are refused. The state is Closed when
// Drain returns. Drain returns a *DrainError if the drain timeout passes or ctx ends
// before that. Later calls wait for the first one and return its result.
func (l *Lifecycle) Drain(ctx context.Context) error {
	result, first := l.beginDrain()
	if !first {
		<-result.done
		return result.err
	}
	defer close(result.done)
	l.config.OnDraining()
	result.err = l.waitAndClose(ctx)
	return result.err
}

func (l *Lifecycle) beginDrain() (result *drainResult, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drain != nil {
		return l.drain, false
	}
	l.state = Draining
	l.drain = &drainResult{done: make(chan struct{})}
	return l.drain, true
}

func (l *Lifecycle) waitAndClose(ctx context.Context) error {
	if l.config.AcceptTimeout > 0 {
		refuse := time.AfterFunc(l.config.AcceptTimeout, l.beginRefusing)
		defer refuse.Stop()
	}
	if !sleep(ctx, l.config.LoadBalancerDelay) {
		return l.forceClose()
	}
	ctx, cancel := context.WithTimeout(ctx, l.config.DrainTimeout)
	defer cancel()
	for !l.closeIfIdle() {
		if !l.waitForIdleOrPoll(ctx) {
			return l.forceClose()
		}
	}
	return nil
}

// waitForIdleOrPoll waits until no request is in flight or the next check for live
// tickets is due. It returns false when ctx ends first.
func (l *Lifecycle) waitForIdleOrPoll(ctx context.Context) bool {
	poll := time.NewTimer(ticketPollInterval)
	defer poll.Stop()
	select {
	case <-l.becameIdle:
	case <-poll.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// sleep waits for d. It returns false when ctx ends first.
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
