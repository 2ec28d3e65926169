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
func (m *Manager) Drain(ctx context.Context) error {
	current, first := m.beginDrain()
	if !first {
		<-current.done
		return current.err
	}
	defer close(current.done)
	m.config.OnDraining()
	current.err = m.waitAndClose(ctx)
	return current.err
}

func (m *Manager) beginDrain() (current *drain, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.drain != nil {
		return m.drain, false
	}
	m.state = Draining
	m.drain = &drain{done: make(chan struct{})}
	return m.drain, true
}

func (m *Manager) waitAndClose(ctx context.Context) error {
	if !sleep(ctx, m.config.LoadBalancerDelay) {
		return m.forceClose()
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.DrainTimeout)
	defer cancel()
	for !m.closeIfIdle() {
		if !m.waitForChange(ctx) {
			return m.forceClose()
		}
	}
	return nil
}

func (m *Manager) waitForChange(ctx context.Context) bool {
	poll := time.NewTimer(pollInterval)
	defer poll.Stop()
	select {
	case <-m.idle:
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
