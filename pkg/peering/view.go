package peering

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// view is what follows from the known members. Requests ask for it at each attempt, so
// that it is computed only when a member changes or time alone changes it.
type view struct {
	until  time.Time           // from then on it does not hold
	usable map[string][]Member // that can be given work, by zone, this one included; "" is all
	roster []string            // ids of all members, this instance included, in order
	digest uint64              // of the roster; never 0
	count  int                 // instances, this one included

	millicores     int // of all usable members and this instance
	zoneMillicores int // of those in this zone
}

// viewLocked returns the view that holds now.
func (m *Members) viewLocked(now time.Time) *view {
	if m.current == nil || !now.Before(m.current.until) {
		m.current = m.computeLocked(now)
	}
	return m.current
}

// view returns the view that holds now and this instance.
func (m *Members) view() (*view, Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.viewLocked(m.now()), m.self
}

func (m *Members) computeLocked(now time.Time) *view {
	v := &view{
		until:          now.Add(forgetAfter),
		usable:         map[string][]Member{"": nil, m.self.Zone: nil},
		roster:         []string{m.self.ID},
		count:          1,
		millicores:     m.self.Millicores,
		zoneMillicores: m.self.Millicores,
	}
	for id, k := range m.known {
		forgotten := k.heard.Add(forgetAfter)
		if !now.Before(forgotten) {
			m.logger.Info("instance gone", "peer", id, "peer_zone", k.Zone, "last_heard_ms", now.Sub(k.heard).Milliseconds())
			delete(m.known, id)
			continue
		}
		v.roster = append(v.roster, id)
		v.count++
		v.limit(forgotten)
		switch {
		case k.Leaving:
		case !now.After(k.suspect):
			v.limit(k.suspect.Add(1))
		default:
			v.add(k.Member, m.self.Zone)
		}
	}
	for zone := range v.usable {
		slices.SortFunc(v.usable[zone], func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.Sort(v.roster)
	v.digest = m.digestLocked(v.roster)
	return v
}

func (v *view) limit(until time.Time) {
	if until.Before(v.until) {
		v.until = until
	}
}

func (v *view) add(member Member, ownZone string) {
	v.usable[""] = append(v.usable[""], member)
	v.usable[member.Zone] = append(v.usable[member.Zone], member)
	v.millicores += member.Millicores
	if member.Zone == ownZone {
		v.zoneMillicores += member.Millicores
	}
}

// digestLocked sums up the members and their runs. Instances with equal ones know the same.
func (m *Members) digestLocked(roster []string) uint64 {
	hash := xxhash.New()
	for _, id := range roster {
		member := m.self
		member.Leaving = m.leaving
		if id != m.self.ID {
			member = m.known[id].Member
		}
		state := binary.BigEndian.AppendUint64(append([]byte(id), 0), member.Incarnation<<1)
		if member.Leaving {
			state[len(state)-1] |= 1
		}
		_, _ = hash.Write(state) // never fails
	}
	return max(hash.Sum64(), 1)
}

// Digest returns the digest of all members and the time since any instance heard of
// each, in the order of their ids.
func (m *Members) Digest() (digest uint64, ages []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	v := m.viewLocked(now)
	for _, id := range v.roster {
		age := time.Duration(0)
		if id != m.self.ID {
			age = now.Sub(m.known[id].heard)
		}
		ages = append(ages, age)
	}
	return v.digest, ages
}

// LearnAges takes over when another instance with the same digest heard of the members.
// It returns false when this instance knows others.
func (m *Members) LearnAges(digest uint64, ages []time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	v := m.viewLocked(now)
	if v.digest != digest || len(v.roster) != len(ages) {
		return false
	}
	for i, id := range v.roster {
		if id == m.self.ID {
			continue
		}
		if heard := now.Add(-ages[i]); heard.After(m.known[id].heard) {
			m.known[id].heard = heard
		}
	}
	return true
}
