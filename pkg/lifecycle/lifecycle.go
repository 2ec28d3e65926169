package lifecycle

import "sync"

// Lifecycle holds the state of an instance and counts its requests in flight. It
// is safe for concurrent use.
type Lifecycle struct {
	config Config

	mu       sync.Mutex // guards everything below
	state    State
	inFlight int
	idle     chan struct{} // receives when inFlight becomes 0; capacity 1
	drain    *drain        // nil before Drain
}

// New returns a lifecycle in the state Starting.
func New(config Config) *Lifecycle {
	if config.Live == nil {
		config.Live = func() int { return 0 }
	}
	if config.OnDraining == nil {
		config.OnDraining = func() {}
	}
	return &Lifecycle{config: config, idle: make(chan struct{}, 1)}
}

// SetReady moves the instance from Starting to Ready. In any other state it
// has no effect, so that an instance that drains early does not become ready.
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

// enter counts a request, unless the instance is closed.
func (l *Lifecycle) enter() (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == Closed {
		return l.state, false
	}
	l.inFlight++
	return l.state, true
}

func (l *Lifecycle) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if l.inFlight > 0 {
		return
	}
	select {
	case l.idle <- struct{}{}:
	default:
	}
}

// closeIfIdle closes the instance when nothing is left to serve. The check and
// the transition are one step: a request either prevents it or is refused.
func (l *Lifecycle) closeIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight > 0 || l.config.Live() > 0 {
		return false
	}
	l.state = Closed
	return true
}

// forceClose closes the instance and returns what it interrupts.
func (l *Lifecycle) forceClose() *DrainError {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = Closed
	return &DrainError{InFlight: l.inFlight, LiveTickets: l.config.Live()}
}
