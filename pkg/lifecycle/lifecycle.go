package lifecycle

import "sync"

// Lifecycle holds the state of an instance and counts its requests in flight. It
// is safe for concurrent use.
type Lifecycle struct {
	config Config

	mu         sync.Mutex // guards everything below
	state      State
	inFlight   int
	becameIdle chan struct{} // receives when inFlight becomes 0; capacity 1
	drain      *drainResult  // nil before the first call of Drain
}

// New returns a Lifecycle in the state Starting.
func New(config Config) *Lifecycle {
	if config.LiveTickets == nil {
		config.LiveTickets = func() int { return 0 }
	}
	if config.OnDraining == nil {
		config.OnDraining = func() {}
	}
	return &Lifecycle{config: config, becameIdle: make(chan struct{}, 1)}
}

// SetReady moves the instance from Starting to Ready. It has no effect in any
// other state, so an instance that drains while it starts does not become ready.
func (l *Lifecycle) SetReady() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == Starting {
		l.state = Ready
	}
}

// State returns the current state.
func (l *Lifecycle) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Ready reports whether the instance should get new requests.
func (l *Lifecycle) Ready() bool {
	return l.State() == Ready
}

// InFlight returns the number of requests that are being served.
func (l *Lifecycle) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// beginRequest counts a request as in flight. It returns false when the instance
// is closed.
func (l *Lifecycle) beginRequest() (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == Closed {
		return l.state, false
	}
	l.inFlight++
	return l.state, true
}

func (l *Lifecycle) endRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if l.inFlight > 0 {
		return
	}
	select {
	case l.becameIdle <- struct{}{}:
	default:
	}
}

// closeIfIdle closes the instance if no request is in flight and no ticket is
// live. The check and the change of state are atomic: a concurrent request either
// prevents the change or is refused.
func (l *Lifecycle) closeIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight > 0 || l.config.LiveTickets() > 0 {
		return false
	}
	l.state = Closed
	return true
}

// forceClose closes the instance and reports the requests in flight and the live
// tickets that this cuts off.
func (l *Lifecycle) forceClose() *DrainError {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = Closed
	return &DrainError{InFlight: l.inFlight, LiveTickets: l.config.LiveTickets()}
}
