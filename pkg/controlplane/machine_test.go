package controlplane

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxReadsPerSecond is the configuration service's limit of 2,000 reads/s for 440
// instances, scaled to the largest fleet of the state machine. The limit includes
// the start of the fleet: a starting instance reads the list of members and the
// bundle, and watches for changes.
const maxReadsPerSecond = 60

// faultMachine is a rapid state machine. Its exported methods are the actions that
// publish documents, inject faults and check a fleet of simulated instances.
type faultMachine struct {
	net         *simNetwork
	lastVersion int64
	digestCount int
	start       time.Time
}

func newFaultMachine(t *rapid.T) *faultMachine {
	size := rapid.IntRange(3, 9).Draw(t, "instances")
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	net := newSimNetwork(size, zones, rapid.Uint64().Draw(t, "seed"))
	m := &faultMachine{net: net, lastVersion: 1, start: net.now}
	net.advance(3 * time.Second)
	return m
}

// drawInstance draws one of the instances, paused ones included.
func (m *faultMachine) drawInstance(t *rapid.T) *simInstance {
	return m.net.instances[rapid.IntRange(0, len(m.net.instances)-1).Draw(t, "instance")]
}

// drawDigest returns a new digest whose first letter is random, so a later digest
// can sort below an earlier one.
func (m *faultMachine) drawDigest(t *rapid.T) string {
	m.digestCount++
	letter := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "digest")
	return fmt.Sprintf("%s%d", letter, m.digestCount)
}

// Publish publishes a bundle with a new version.
func (m *faultMachine) Publish(t *rapid.T) {
	m.lastVersion++
	m.net.service.publishBundle(m.lastVersion, m.drawDigest(t))
}

// PublishSame publishes a different bundle with the last version again, as a
// second operator may do.
func (m *faultMachine) PublishSame(t *rapid.T) {
	m.net.service.publishBundle(m.lastVersion, m.drawDigest(t))
}

// PublishBad publishes a bundle that does not verify.
func (m *faultMachine) PublishBad(*rapid.T) {
	m.net.service.publish(KeyBundle, []byte("bad"))
}

// PublishMembers publishes the current list of members or a malformed list.
func (m *faultMachine) PublishMembers(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "malformed") == 0 {
		m.net.service.publish(KeyMembers, []byte(`{"instances": [`))
		return
	}
	m.net.service.publishMembers()
}

// Service takes the configuration service down or up.
func (m *faultMachine) Service(t *rapid.T) {
	m.net.service.down = rapid.Bool().Draw(t, "down")
}

// Stale makes the service show an old state to some instances.
func (m *faultMachine) Stale(t *rapid.T) {
	service := m.net.service
	for _, s := range m.net.instances {
		delete(service.staleRevisions, s.ID)
		if rapid.Bool().Draw(t, "stale") {
			service.staleRevisions[s.ID] = rapid.IntRange(2, service.latestRevision()).Draw(t, "revision")
		}
	}
}

// Partition splits the fleet into up to three sides, of which only side 0 reaches
// the service.
func (m *faultMachine) Partition(t *rapid.T) {
	for _, s := range m.net.instances {
		m.net.partitionSides[s.ID] = rapid.IntRange(0, 2).Draw(t, "side")
	}
}

// Heal ends the partition.
func (m *faultMachine) Heal(*rapid.T) {
	clear(m.net.partitionSides)
}

// Freeze pauses the process of one instance.
func (m *faultMachine) Freeze(t *rapid.T) {
	m.drawInstance(t).paused = true
}

// Wake resumes the process of one instance, which then decides on a query at once.
func (m *faultMachine) Wake(t *rapid.T) {
	s := m.drawInstance(t)
	s.resumeAndServeQueue()
	m.checkDecision(t, s)
}

// PauseInCall pauses a process after the reply to an exchange has arrived. The
// process then uses this old reply and decides on a query.
func (m *faultMachine) PauseInCall(t *rapid.T) {
	s := m.drawInstance(t)
	if s.paused || !s.ready {
		return
	}
	s.nextCallPause = time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * simTick
	s.plane.exchangeStep(context.Background())
	s.nextCallPause = 0
	m.checkDecision(t, s)
}

// Decide makes an instance decide on a query unless it is paused.
func (m *faultMachine) Decide(t *rapid.T) {
	if s := m.drawInstance(t); !s.paused {
		m.checkDecision(t, s)
	}
}

// Replace crashes an instance and starts a new one.
func (m *faultMachine) Replace(t *rapid.T) {
	index := rapid.IntRange(0, len(m.net.instances)-1).Draw(t, "instance")
	m.net.instances = append(m.net.instances[:index:index], m.net.instances[index+1:]...)
	s := m.net.addInstance()
	if rapid.Bool().Draw(t, "stale") {
		m.net.service.staleRevisions[s.ID] = rapid.IntRange(2, m.net.service.latestRevision()).Draw(t, "revision")
	}
}

// Advance moves the virtual clock forward.
func (m *faultMachine) Advance(t *rapid.T) {
	m.net.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * simTick)
}

// Settle ends all faults and checks that all instances converge on the highest
// bundle. It first publishes the complete list of members, because no instance
// can ask a new instance that is missing from its list.
func (m *faultMachine) Settle(t *rapid.T) {
	m.net.heal()
	m.net.service.publishMembers()
	highest := m.highestBundle()
	m.net.advance(3 * time.Second)
	for _, s := range m.net.instances {
		if got := s.bundleVersion(); got != highest {
			t.Fatalf("%s holds bundle %v 3 s after the last fault, want %v", s.ID, got, highest)
		}
	}
}

// highestBundle returns the highest valid bundle that an instance or the service
// holds.
func (m *faultMachine) highestBundle() Version {
	highest := Version{Key: KeyBundle}
	for _, s := range m.net.instances {
		if b := s.bundleVersion(); b.Compare(highest) > 0 {
			highest = b
		}
	}
	if published := m.net.service.bundleAt(m.net.service.latestRevision()); published.Compare(highest) > 0 {
		highest = published
	}
	return highest
}

// checkDecision makes an instance decide and checks EnsureFresh. A decision that
// is not reported as stale must use a bundle at least as high as the lowest bundle
// that any other instance held, or that the service showed, within FreshnessBound.
// A decision may be reported as stale only when nobody can be reached, or within
// refreshBackoff of such a decision.
func (m *faultMachine) checkDecision(t *rapid.T, s *simInstance) {
	if !s.ready {
		return
	}
	stale := s.plane.EnsureFresh(context.Background())
	if stale {
		other, ok := m.findReachable(s)
		if ok && m.net.now.Sub(s.lastIsolatedDecision) > refreshBackoff {
			t.Fatalf("%s reports stale documents although it reaches %s", s.ID, other)
		}
		if !ok {
			s.lastIsolatedDecision = m.net.now
		}
		return
	}
	lowest, ok := m.lowestRecentBundle(s)
	if ok && s.bundleVersion().Compare(lowest) < 0 {
		t.Fatalf("%s decides under bundle %v, all others held at least %v within the freshness bound", s.ID, s.bundleVersion(), lowest)
	}
}

// findReachable returns the name of the service, or else the id of a listed peer,
// if one of them answers calls from the instance.
func (m *faultMachine) findReachable(s *simInstance) (string, bool) {
	if !m.net.service.down && m.net.partitionSides[s.ID] == 0 {
		return "the service", true
	}
	for _, listed := range s.view.ListedInstances() {
		other, ok := m.net.findInstance(listed.ID)
		if ok && other != s && other.ready && s.reaches(other) {
			return other.ID, true
		}
	}
	return "", false
}

// lowestRecentBundle returns the lowest bundle that another ready, running instance
// held, or that the service showed to this instance, within FreshnessBound. It
// returns false when the history holds no such bundle.
func (m *faultMachine) lowestRecentBundle(s *simInstance) (Version, bool) {
	lowest := m.net.service.bundleVisibleTo(s)
	found := false
	for _, tick := range m.net.bundleHistory {
		for id, held := range tick {
			if id == s.ID || id != serviceViewPrefix+s.ID && strings.HasPrefix(id, serviceViewPrefix) {
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

// Check runs after every action. It fails when an instance accepted a bundle that
// was not higher than the one before, or when the reads of the service exceeded
// maxReadsPerSecond.
func (m *faultMachine) Check(t *rapid.T) {
	for _, s := range m.net.instances {
		if s.bundleRegression != "" {
			t.Fatalf("accepted bundle is not higher than the one before: %s", s.bundleRegression)
		}
	}
	if peak := m.net.service.peakReadsPerSecond(m.net.now.Add(-3*time.Second), m.net.now); peak > maxReadsPerSecond {
		t.Fatalf("%d reads of the service in one second, more than maxReadsPerSecond", peak)
	}
}

// TestControlPlaneUnderFaults guards invariant 8 and the freshness check of
// decisions: no instance goes back to a lower bundle, all instances hold the
// highest bundle 3 s after the last fault, and a process that was paused does not
// decide under an old bundle while it can reach the service or a peer.
func TestControlPlaneUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFaultMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.Settle(t)
	})
}
