package lifecycle

import "sync"

// Manager holds the state of an instance and counts its requests in flight. It
// is safe for concurrent use.
type Manager struct {
	config Config

	mu       sync.Mutex // guards everything below
	state    State
	inFlight int
	idle     chan struct{} // receives when inFlight becomes 0; capacity 1
	drain    *drain        // nil before Drain
}

// New returns a manager in the state Starting.
func New(config Config) *Manager {
	if config.Live == nil {
		config.Live = func() int { return 0 }
	}
	if config.OnDraining == nil {
		config.OnDraining = func() {}
	}
	return &Manager{config: config, idle: make(chan struct{}, 1)}
}

// SetReady moves the instance from Starting to Ready. In any other state it
// has no effect, so that an instance that drains early does not become ready.
func (m *Manager) SetReady() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == Starting {
		m.state = Ready
	}
}

// State returns the current state.
func (m *Manager) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// InFlight returns the number of requests that are being served.
func (m *Manager) InFlight() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inFlight
}

// enter counts a request, unless the instance is closed.
func (m *Manager) enter() (State, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == Closed {
		return m.state, false
	}
	m.inFlight++
	return m.state, true
}

func (m *Manager) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	if m.inFlight > 0 {
		return
	}
	select {
	case m.idle <- struct{}{}:
	default:
	}
}

// closeIfIdle closes the instance when nothing is left to serve. The check and
// the transition are one step: a request either prevents it or is refused.
func (m *Manager) closeIfIdle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight > 0 || m.config.Live() > 0 {
		return false
	}
	m.state = Closed
	return true
}

// forceClose closes the instance and returns what it interrupts.
func (m *Manager) forceClose() *DrainError {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = Closed
	return &DrainError{InFlight: m.inFlight, LiveTickets: m.config.Live()}
}
