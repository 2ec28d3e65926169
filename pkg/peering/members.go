package peering

import (
	"log/slog"
	"slices"
	"sync"
	"time"
)

const (
	// forgetAfter is the age at which a member that no instance has heard of counts
	// as gone. With an exchange each half second, news of a live member reach 80
	// instances within about 5 s.
	forgetAfter = 12 * time.Second
	// failuresToSuspect is the number of failures in a row after which a member gets
	// no work: a single one is mostly a lost packet.
	failuresToSuspect = 2
	// firstSuspicion is how long a member gets no work after it has failed to
	// answer; it doubles up to longestSuspicion.
	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 4 * time.Second
	// countMemory is how long the greatest number of members is remembered: a
	// partition must not raise this side's share of a common budget.
	countMemory = 60 * time.Second
	// settleTime is how long a new instance assumes many members.
	settleTime = 5 * time.Second
	// assumedMembers is the assumption. It is above the size of the small
	// deployments with all spare machines.
	assumedMembers = 10
)

// Members is what this instance knows of all instances. It is safe for
// concurrent use.
type Members struct {
	self    Member
	started time.Time
	now     func() time.Time
	logger  *slog.Logger

	mu      sync.Mutex
	known   map[string]*known
	current *view // nil when a member has changed since
	leaving bool
	peak    int // greatest count within countMemory
	peakAt  time.Time
}

type known struct {
	Member
	heard    time.Time // when any instance last heard of it, in this instance's clock
	failures int       // in a row
	suspect  time.Time // end of the suspicion
}

// NewMembers returns the view of an instance that knows only itself.
func NewMembers(self Member, now func() time.Time, logger *slog.Logger) *Members {
	return &Members{self: self, started: now(), now: now, logger: logger, known: make(map[string]*known)}
}

// Self returns this instance.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.self
	self.Leaving = m.leaving
	return self
}

// SetLeaving makes this instance tell the others that it is going.
func (m *Members) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.current = nil
}

// Learn takes over that some instance heard of a member the given time ago.
func (m *Members) Learn(member Member, age time.Duration) {
	if member.ID == "" || age >= forgetAfter {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if member.ID == m.self.ID {
		m.outrankLocked(member)
		return
	}
	heard := m.now().Add(-age)
	k := m.known[member.ID]
	if k == nil {
		m.known[member.ID] = &known{Member: member, heard: heard}
		m.current = nil
		m.logger.Info("instance found", "peer", member.ID, "peer_zone", member.Zone, "age_ms", age.Milliseconds())
		return
	}
	switch {
	case member.Incarnation > k.Incarnation:
		*k = known{Member: member, heard: heard}
		m.current = nil
		m.logger.Info("instance has restarted", "peer", member.ID, "peer_zone", member.Zone)
	case member.Incarnation == k.Incarnation:
		if member.Leaving && !k.Leaving {
			k.Leaving = true
			m.current = nil
		}
		if heard.After(k.heard) {
			k.heard = heard
		}
	}
}

// outrankLocked lets this run follow one of the same instance that began at a later time of
// day: the clock has gone back since, and the others would keep to the earlier run until
// they have forgotten it.
func (m *Members) outrankLocked(earlier Member) {
	if earlier.Incarnation <= m.self.Incarnation {
		return
	}
	m.logger.Warn("an earlier run of this instance has a later start, taking the number after it",
		"incarnation", m.self.Incarnation, "earlier", earlier.Incarnation)
	m.self.Incarnation = earlier.Incarnation + 1
	m.current = nil
}

// Heard takes over a message of a member itself.
func (m *Members) Heard(member Member) {
	m.Learn(member, 0)
}

// Report records whether a member answered a call.
func (m *Members) Report(id string, ok bool) {
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
		if !k.suspect.IsZero() {
			m.current = nil
		}
		k.failures, k.suspect = 0, time.Time{}
		if now.After(k.heard) {
			k.heard = now
		}
		return
	}
	k.failures++
	if k.failures == 1 {
		m.logger.Warn("instance does not answer", "peer", id, "peer_zone", k.Zone, "last_heard_ms", now.Sub(k.heard).Milliseconds())
	}
	if k.failures < failuresToSuspect {
		return
	}
	m.current = nil
	k.suspect = now.Add(min(firstSuspicion<<min(k.failures-failuresToSuspect, 6), longestSuspicion))
}

// Usable returns the members that can be given work, by id. An empty zone stands
// for all zones.
func (m *Members) Usable(zone string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.viewLocked(m.now()).usable[zone])
}

// Listed returns all members with the time since any instance heard of them.
func (m *Members) Listed() ([]Member, []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var members []Member
	var ages []time.Duration
	for _, id := range m.viewLocked(now).roster {
		if k := m.known[id]; k != nil {
			members = append(members, k.Member)
			ages = append(ages, now.Sub(k.heard))
		}
	}
	return members, ages
}

// Count returns the number of instances, this one included, that budgets are
// shared among: the greatest number of the last minute.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	return m.countLocked(m.viewLocked(now), now)
}

func (m *Members) countLocked(v *view, now time.Time) int {
	if v.count >= m.peak || now.Sub(m.peakAt) > countMemory {
		m.peak, m.peakAt = v.count, now
	}
	if now.Sub(m.started) < settleTime {
		return max(m.peak, assumedMembers)
	}
	return m.peak
}

// Share is the part of a common budget that this instance may spend: that of its
// processor time among as many instances as Count.
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

// RemoteInstances implements forward.Sharing. It assumes zones of equal size.
func (m *Members) RemoteInstances() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	v := m.viewLocked(now)
	zones := len(v.usable) - 1 // without the entry for all zones
	count := m.countLocked(v, now)
	return max(count-count/max(zones, 1), 1)
}
