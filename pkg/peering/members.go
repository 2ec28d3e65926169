package peering

import (
	"log/slog"
	"slices"
	"sync"
	"time"
)

const (
	// memberTTL is how long after any instance last saw a member the member is removed.
	// With an exchange each half second, an update about a live member reaches 80
	// instances within about 5 s.
	memberTTL = 12 * time.Second
	// suspectAfterFailures is the number of calls failed in a row after which a member
	// gets no work. A single failure is usually a lost packet.
	suspectAfterFailures = 2
	// initialSuspicion is how long a suspected member gets no work. The time doubles with
	// each further failure, up to maxSuspicion.
	initialSuspicion = 500 * time.Millisecond
	maxSuspicion     = 4 * time.Second
	// peakCountWindow is how long the peak number of members counts: a network partition
	// must not raise this side's share of a common budget.
	peakCountWindow = 60 * time.Second
	// startupPeriod is how long after its start an instance counts at least
	// startupMemberCount members, since it may not know all of them yet.
	startupPeriod = 5 * time.Second
	// startupMemberCount exceeds the size of small deployments with all their spare
	// machines.
	startupMemberCount = 10
)

// Members tracks all instances of the deployment as far as this instance knows them. It
// is safe for concurrent use.
type Members struct {
	self    Member
	started time.Time
	now     func() time.Time
	logger  *slog.Logger
	trips   *RoundTrips

	mu          sync.Mutex
	known       map[string]*memberState
	cachedView  *view // nil after a member has changed
	leaving     bool
	peakCount   int // greatest number of instances within peakCountWindow
	peakCountAt time.Time
}

// memberState is a member with what this instance knows of its health.
type memberState struct {
	Member
	lastSeen     time.Time // when any instance last saw the member, by this instance's clock
	failures     int       // calls failed in a row
	suspectUntil time.Time // the member gets no work until then
}

// NewMembers returns the members of a starting instance, which knows only itself.
func NewMembers(self Member, now func() time.Time, logger *slog.Logger) *Members {
	return &Members{self: self, started: now(), now: now, logger: logger, trips: newRoundTrips(now), known: make(map[string]*memberState)}
}

// RoundTrips returns the measured round trips to the zones of the members.
func (m *Members) RoundTrips() *RoundTrips { return m.trips }

// Self returns this instance as a member.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.self
	self.Leaving = m.leaving
	return self
}

// SetLeaving marks this instance as leaving, which later exchanges tell the others.
func (m *Members) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.cachedView = nil
}

// Merge takes in the information that some instance saw a member the given time ago.
func (m *Members) Merge(member Member, age time.Duration) {
	if member.ID == "" || age >= memberTTL {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if member.ID == m.self.ID {
		m.raiseIncarnationLocked(member)
		return
	}
	lastSeen := m.now().Add(-age)
	k := m.known[member.ID]
	if k == nil {
		m.known[member.ID] = &memberState{Member: member, lastSeen: lastSeen}
		m.cachedView = nil
		m.logger.Info("instance found", "peer", member.ID, "peer_zone", member.Zone, "age_ms", age.Milliseconds())
		return
	}
	switch {
	case member.Incarnation > k.Incarnation:
		*k = memberState{Member: member, lastSeen: lastSeen}
		m.cachedView = nil
		m.logger.Info("instance has restarted", "peer", member.ID, "peer_zone", member.Zone)
	case member.Incarnation == k.Incarnation:
		if member.Leaving && !k.Leaving {
			k.Leaving = true
			m.cachedView = nil
		}
		if lastSeen.After(k.lastSeen) {
			k.lastSeen = lastSeen
		}
	}
}

// raiseIncarnationLocked raises the incarnation of this run above that of an earlier run
// of the same instance. The earlier run has the higher number when the clock has gone
// back since; the others would then ignore this run until memberTTL has removed the
// earlier one.
func (m *Members) raiseIncarnationLocked(earlier Member) {
	if earlier.Incarnation <= m.self.Incarnation {
		return
	}
	m.logger.Warn("an earlier run of this instance has a later start, taking the number after it",
		"incarnation", m.self.Incarnation, "earlier", earlier.Incarnation)
	m.self.Incarnation = earlier.Incarnation + 1
	m.cachedView = nil
}

// MarkSeen records a message that came from the member itself.
func (m *Members) MarkSeen(member Member) {
	m.Merge(member, 0)
}

// RecordCall records whether a member answered a call.
func (m *Members) RecordCall(id string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.known[id]
	if k == nil {
		return
	}
	now := m.now()
	if ok {
		if k.failures > 0 {
			m.logger.Info("instance answers again", "peer", id, "failures", k.failures)
		}
		if !k.suspectUntil.IsZero() {
			m.cachedView = nil
		}
		k.failures, k.suspectUntil = 0, time.Time{}
		if now.After(k.lastSeen) {
			k.lastSeen = now
		}
		return
	}
	k.failures++
	if k.failures == 1 {
		m.logger.Warn("instance does not answer", "peer", id, "peer_zone", k.Zone, "last_heard_ms", now.Sub(k.lastSeen).Milliseconds())
	}
	if k.failures < suspectAfterFailures {
		return
	}
	m.cachedView = nil
	k.suspectUntil = now.Add(min(initialSuspicion<<min(k.failures-suspectAfterFailures, 6), maxSuspicion))
}

// failures returns the number of calls to a member that have failed since it last answered one.
func (m *Members) failures(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[id]; k != nil {
		return k.failures
	}
	return 0
}

// Usable returns the members that can be given work, ordered by id. An empty zone stands
// for all zones.
func (m *Members) Usable(zone string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.viewLocked(m.now()).usable[zone])
}

// All returns all other members, with the time since any instance last saw each.
func (m *Members) All() ([]Member, []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var members []Member
	var ages []time.Duration
	for _, id := range m.viewLocked(now).memberIDs {
		if k := m.known[id]; k != nil {
			members = append(members, k.Member)
			ages = append(ages, now.Sub(k.lastSeen))
		}
	}
	return members, ages
}

// Count returns the number of instances, this one included, among which budgets are
// shared. It is the peak of the last peakCountWindow.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	return m.countLocked(m.viewLocked(now), now)
}

func (m *Members) countLocked(v *view, now time.Time) int {
	if v.instances >= m.peakCount || now.Sub(m.peakCountAt) > peakCountWindow {
		m.peakCount, m.peakCountAt = v.instances, now
	}
	if now.Sub(m.started) < startupPeriod {
		return max(m.peakCount, startupMemberCount)
	}
	return m.peakCount
}

// Share returns the fraction of a common budget that this instance may spend. Budgets
// are divided among Count instances in proportion to processor time.
func (m *Members) Share() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	v := m.viewLocked(now)
	count := m.countLocked(v, now)
	if v.millicores <= 0 {
		return 1 / float64(count)
	}
	mean := float64(v.millicores) / float64(len(v.usable[""])+1)
	return min(float64(m.self.Millicores)/mean/float64(count), 1)
}

// ZoneShare implements forward.Sharing.
func (m *Members) ZoneShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.viewLocked(m.now()).zoneMillicores
	if total <= 0 {
		return 1
	}
	return float64(m.self.Millicores) / float64(total)
}

// RemoteInstances implements forward.Sharing. It assumes that all zones have the same number of
// instances.
func (m *Members) RemoteInstances() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	v := m.viewLocked(now)
	zones := len(v.usable) - 1 // one entry stands for all zones
	count := m.countLocked(v, now)
	return max(count-count/max(zones, 1), 1)
}
