package lifecycle

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// ErrInterrupted is the cause with which Interrupt cancels the contexts of requests.
var ErrInterrupted = errors.New("the instance shuts down")

// Lifecycle holds the state of an instance and counts its requests in flight. It
// is safe for concurrent use.
type Lifecycle struct {
	config    Config
	base      context.Context // parent of the contexts of callers' requests
	interrupt context.CancelCauseFunc

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
	if config.OnRefusing == nil {
		config.OnRefusing = func() {}
	}
	if config.Refuse == nil {
		config.Refuse = http.HandlerFunc(writeRefusal)
	}
	l := &Lifecycle{config: config, becameIdle: make(chan struct{}, 1)}
	l.base, l.interrupt = context.WithCancelCause(context.Background())
	return l
}

// BaseContext is the http.Server.BaseContext hook of the listener of callers. Its
// context is cancelled by Interrupt.
func (l *Lifecycle) BaseContext(net.Listener) context.Context { return l.base }

// Interrupt cancels the contexts of all requests whose listener uses BaseContext, with
// the cause ErrInterrupted, so that their handlers answer before the process ends. It
// is called after Drain.
func (l *Lifecycle) Interrupt() { l.interrupt(ErrInterrupted) }

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

// beginRequest counts a request as in flight. It returns false when the state is
// refusedFrom or later.
func (l *Lifecycle) beginRequest(refusedFrom State) (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state >= refusedFrom {
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

// beginRefusing ends the acceptance of callers' requests.
func (l *Lifecycle) beginRefusing() {
	l.mu.Lock()
	begins := l.state == Draining
	if begins {
		l.state = Refusing
	}
	l.mu.Unlock()
	if begins {
		l.config.OnRefusing()
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
