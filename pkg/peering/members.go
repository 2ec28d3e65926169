package peering

import (
	"cmp"
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
}

// Learn takes over that some instance heard of a member the given time ago.
func (m *Members) Learn(member Member, age time.Duration) {
	if member.ID == "" || member.ID == m.self.ID || age >= forgetAfter {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := m.now().Add(-age)
	k := m.known[member.ID]
	if k == nil {
		m.known[member.ID] = &known{Member: member, heard: heard}
		m.logger.Info("instance found", "peer", member.ID, "peer_zone", member.Zone, "age_ms", age.Milliseconds())
		return
	}
	switch {
	case member.Incarnation > k.Incarnation:
		*k = known{Member: member, heard: heard}
		m.logger.Info("instance has restarted", "peer", member.ID, "peer_zone", member.Zone)
	case member.Incarnation == k.Incarnation:
		k.Leaving = k.Leaving || member.Leaving
		if heard.After(k.heard) {
			k.heard = heard
		}
	}
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
	k.suspect = now.Add(min(firstSuspicion<<min(k.failures-failuresToSuspect, 6), longestSuspicion))
}

// Usable returns the members that can be given work, by id. An empty zone stands
// for all zones.
func (m *Members) Usable(zone string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var out []Member
	for _, k := range m.known {
		if !k.Leaving && now.After(k.suspect) && now.Sub(k.heard) < forgetAfter && (zone == "" || k.Zone == zone) {
			out = append(out, k.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Listed returns all members with the time since any instance heard of them.
func (m *Members) Listed() ([]Member, []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var members []Member
	var ages []time.Duration
	for id, k := range m.known {
		age := now.Sub(k.heard)
		if age >= forgetAfter {
			m.logger.Info("instance gone", "peer", id, "peer_zone", k.Zone, "last_heard_ms", age.Milliseconds())
			delete(m.known, id)
			continue
		}
		members = append(members, k.Member)
		ages = append(ages, age)
	}
	return members, ages
}

// Count returns the number of instances, this one included, that budgets are
// shared among: the greatest number of the last minute.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	count := 1
	for _, k := range m.known {
		if now.Sub(k.heard) < forgetAfter {
			count++
		}
	}
	if count >= m.peak || now.Sub(m.peakAt) > countMemory {
		m.peak, m.peakAt = count, now
	}
	if now.Sub(m.started) < settleTime {
		return max(m.peak, assumedMembers)
	}
	return m.peak
}

// Share is the part of a common budget that this instance may spend: that of its
// processor time among as many instances as Count.
func (m *Members) Share() float64 {
	count := m.Count()
	total, known := 0, 1
	for _, member := range m.Usable("") {
		total += member.Millicores
		known++
	}
	own := m.self.Millicores
	if total+own <= 0 {
		return 1 / float64(count)
	}
	mean := float64(total+own) / float64(known)
	return min(float64(own)/mean/float64(count), 1)
}

// ZoneShare implements forward.Sharing.
func (m *Members) ZoneShare() float64 {
	total := m.self.Millicores
	for _, member := range m.Usable(m.self.Zone) {
		total += member.Millicores
	}
	if total <= 0 {
		return 1
	}
	return float64(m.self.Millicores) / float64(total)
}

// Remote implements forward.Sharing. It assumes zones of equal size.
func (m *Members) Remote() int {
	zones := map[string]bool{m.self.Zone: true}
	for _, member := range m.Usable("") {
		zones[member.Zone] = true
	}
	count := m.Count()
	return max(count-count/len(zones), 1)
}
