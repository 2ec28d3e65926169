package controlplane

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simReadLimit is the configuration service's limit of 2,000 reads/s for 440
// instances, scaled to the largest fleet of the state machine with its start:
// a start reads the members, the bundle and a watch.
const simReadLimit = 60

// machine is a random sequence of faults in a fleet.
type machine struct {
	net     *simNetwork
	version int64
	digests int
	start   time.Time
}

func newMachine(t *rapid.T) *machine {
	size := rapid.IntRange(3, 9).Draw(t, "instances")
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	net := newSimNetwork(size, zones, rapid.Uint64().Draw(t, "seed"))
	m := &machine{net: net, version: 1, start: net.now}
	net.advance(3 * time.Second)
	return m
}

// pick draws one of the living instances.
func (m *machine) pick(t *rapid.T) *simInstance {
	return m.net.alive[rapid.IntRange(0, len(m.net.alive)-1).Draw(t, "instance")]
}

func (m *machine) digest(t *rapid.T) string {
	m.digests++
	letter := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "digest")
	return fmt.Sprintf("%s%d", letter, m.digests)
}

// Publish publishes a bundle with a new version.
func (m *machine) Publish(t *rapid.T) {
	m.version++
	m.net.service.publishBundle(m.version, m.digest(t))
}

// PublishSame is another operator's bundle with the same version.
func (m *machine) PublishSame(t *rapid.T) {
	m.net.service.publishBundle(m.version, m.digest(t))
}

// PublishBad publishes a bundle that does not verify.
func (m *machine) PublishBad(*rapid.T) {
	m.net.service.publish(KeyBundle, []byte("bad"))
}

// PublishMembers lets the platform's list catch up, or breaks it.
func (m *machine) PublishMembers(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "malformed") == 0 {
		m.net.service.publish(KeyMembers, []byte(`{"instances": [`))
		return
	}
	m.net.service.publishMembers()
}

// Service takes the service down or up.
func (m *machine) Service(t *rapid.T) {
	m.net.service.down = rapid.Bool().Draw(t, "down")
}

// Stale shows an old state of the service to some instances.
func (m *machine) Stale(t *rapid.T) {
	service := m.net.service
	for _, s := range m.net.alive {
		delete(service.stale, s.ID)
		if rapid.Bool().Draw(t, "stale") {
			service.stale[s.ID] = rapid.IntRange(2, service.revision()).Draw(t, "revision")
		}
	}
}

// Partition splits the fleet; side 0 reaches the service.
func (m *machine) Partition(t *rapid.T) {
	for _, s := range m.net.alive {
		m.net.groups[s.ID] = rapid.IntRange(0, 2).Draw(t, "side")
	}
}

// Heal ends the partition.
func (m *machine) Heal(*rapid.T) {
	clear(m.net.groups)
}

// Freeze pauses a process.
func (m *machine) Freeze(t *rapid.T) {
	m.pick(t).frozen = true
}

// Wake resumes a process; it has to decide on a query at once.
func (m *machine) Wake(t *rapid.T) {
	s := m.pick(t)
	s.wake()
	m.decide(t, s)
}

// PauseInCall pauses a process while it exchanges; it has to decide on a query
// with the reply at hand.
func (m *machine) PauseInCall(t *rapid.T) {
	s := m.pick(t)
	if s.frozen || !s.ready {
		return
	}
	s.pause = time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * simTick
	s.plane.exchangeStep(context.Background())
	s.pause = 0
	m.decide(t, s)
}

// Decide lets a running instance decide on a query.
func (m *machine) Decide(t *rapid.T) {
	if s := m.pick(t); !s.frozen {
		m.decide(t, s)
	}
}

// Replace crashes an instance and starts a new one.
func (m *machine) Replace(t *rapid.T) {
	at := rapid.IntRange(0, len(m.net.alive)-1).Draw(t, "instance")
	m.net.alive = append(m.net.alive[:at:at], m.net.alive[at+1:]...)
	s := m.net.add()
	if rapid.Bool().Draw(t, "stale") {
		m.net.service.stale[s.ID] = rapid.IntRange(2, m.net.service.revision()).Draw(t, "revision")
	}
}

// Advance lets time pass.
func (m *machine) Advance(t *rapid.T) {
	m.net.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * simTick)
}

// Settle ends all faults and checks the convergence. The platform's list is
// complete then: a new instance that nobody has in its list cannot be asked.
func (m *machine) Settle(t *rapid.T) {
	m.net.heal()
	m.net.service.publishMembers()
	highest := m.highest()
	m.net.advance(3 * time.Second)
	for _, s := range m.net.alive {
		if got := s.bundle(); got != highest {
			t.Fatalf("%s holds %v after healing, want %v", s.ID, got, highest)
		}
	}
}

// highest is the highest valid bundle that a living instance or the service holds.
func (m *machine) highest() Version {
	highest := Version{Key: KeyBundle}
	for _, s := range m.net.alive {
		if b := s.bundle(); b.Compare(highest) > 0 {
			highest = b
		}
	}
	if published := m.net.service.bundleAt(m.net.service.revision()); published.Compare(highest) > 0 {
		highest = published
	}
	return highest
}

// decide checks the freshness gate: a decision that is not reported as stale is
// made under a bundle at least as high as the lowest that it could have learned
// from anybody within the bound, and it is reported as stale only when nobody can be reached.
func (m *machine) decide(t *rapid.T, s *simInstance) {
	if !s.ready {
		return
	}
	stale := s.plane.EnsureFresh(context.Background())
	if stale {
		other, ok := m.reachable(s)
		if ok && m.net.now.Sub(s.stale) > refreshBackoff {
			t.Fatalf("%s reports a stale view but reaches %s", s.ID, other)
		}
		if !ok {
			s.stale = m.net.now
		}
		return
	}
	lowest, ok := m.lowestBefore(s)
	if ok && s.bundle().Compare(lowest) < 0 {
		t.Fatalf("%s decides under %v, all others held at least %v before", s.ID, s.bundle(), lowest)
	}
}

// reachable names the service or a peer in the instance's view that answers it.
func (m *machine) reachable(s *simInstance) (string, bool) {
	if !m.net.service.down && m.net.groups[s.ID] == 0 {
		return "the service", true
	}
	for _, listed := range s.view.ListedInstances() {
		other, ok := m.net.find(listed.ID)
		if ok && other != s && other.ready && s.reaches(other) {
			return other.ID, true
		}
	}
	return "", false
}

// lowestBefore returns the lowest bundle that another awake instance held, or
// that the service showed to this instance, within FreshnessBound.
func (m *machine) lowestBefore(s *simInstance) (Version, bool) {
	lowest := m.net.service.shownTo(s)
	found := false
	for _, tick := range m.net.history {
		for id, held := range tick {
			if id == s.ID || id != serviceShown+s.ID && strings.HasPrefix(id, serviceShown) {
				continue
			}
			found = true
			if held.Compare(lowest) < 0 {
				lowest = held
			}
		}
	}
	return lowest, found
}

// Check holds after every step.
func (m *machine) Check(t *rapid.T) {
	for _, s := range m.net.alive {
		if s.fell != "" {
			t.Fatalf("bundle reverted: %s", s.fell)
		}
	}
	if most := m.net.service.mostReads(m.net.now.Add(-3*time.Second), m.net.now); most > simReadLimit {
		t.Fatalf("%d reads in one second", most)
	}
}

// TestControlPlaneUnderFaults guards invariant 8 and the freshness gate: no
// accepted bundle is reverted on any instance, all hold the highest one 3 s
// after the last fault, and a process that was paused does not decide under an
// old bundle while it can reach anybody.
func TestControlPlaneUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.Settle(t)
	})
}
