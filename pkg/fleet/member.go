package fleet

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// member is one place in the fleet. Its instance changes at a restart.
type member struct {
	link *standin.PeerLink // set before start

	started bool // starts and restarts don't overlap

	mu       sync.Mutex
	spec     InstanceSpec     // the addresses are guarded by mu
	instance Instance         // guarded by mu; nil while stopped
	state    membership.State // guarded by mu; in the platform's list
}

func (m *member) start(ctx context.Context, starter Starter) error {
	spec, err := m.openSpec()
	if err != nil {
		return err
	}
	instance, err := starter(ctx, spec)
	if err != nil {
		spec.Listeners.close()
		return eris.Wrapf(err, "start instance %s", m.spec.ID)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instance = instance
	return nil
}

// openSpec returns the instance's specification with listeners that were opened
// at first or, for a restart, anew on the same addresses.
func (m *member) openSpec() (InstanceSpec, error) {
	spec := m.currentSpec()
	if !m.started {
		m.started = true
		return spec, nil
	}
	var err error
	spec.Listeners, err = listen(spec.CallerAddress, spec.PeerAddress, spec.OperatorAddress)
	if err == nil {
		return spec, nil
	}
	return m.move()
}

// move gives the instance new addresses. Another process on the machine may
// have taken an old one while the instance was down.
func (m *member) move() (InstanceSpec, error) {
	listeners, err := listen("", "", "")
	if err != nil {
		return InstanceSpec{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spec.CallerAddress = listeners.Caller.Addr().String()
	m.spec.PeerAddress = listeners.Peer.Addr().String()
	m.spec.OperatorAddress = listeners.Operator.Addr().String()
	m.link.SetTarget(m.spec.PeerAddress)
	spec := m.spec
	spec.Listeners = listeners
	return spec, nil
}

func (m *member) currentSpec() InstanceSpec {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.spec
}

// listed returns the entry of the platform's list with the own peer address.
func (m *member) listed() membership.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.state
	if state == "" {
		state = membership.StateLive
	}
	return membership.Instance{ID: m.spec.ID, Region: m.spec.Region, Zone: m.spec.Zone, Address: m.spec.PeerAddress, State: state}
}

func (m *member) setState(state membership.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
}

func (m *member) current() Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instance
}

func (m *member) ready() bool {
	instance := m.current()
	return instance != nil && instance.Ready()
}

func (m *member) take() Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	instance := m.instance
	m.instance = nil
	return instance
}

// shutdown keeps the instance visible to the load balancer while it drains,
// since that sees the failing readiness only later.
func (m *member) shutdown(ctx context.Context) error {
	instance := m.current()
	if instance == nil {
		return nil
	}
	err := instance.Shutdown(ctx)
	m.take()
	return err
}

func (m *member) kill() {
	if instance := m.take(); instance != nil {
		instance.Kill()
	}
}

func (m *member) stop() {
	m.kill()
	m.spec.Listeners.close()
	if m.link != nil {
		m.link.Stop()
	}
}
