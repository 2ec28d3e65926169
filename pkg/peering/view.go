package peering

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// view holds values derived from the known members. Each attempt of a request needs some
// of them, so a view is cached until a member changes or an entry expires.
type view struct {
	validUntil time.Time           // the view is invalid from then on
	usable     map[string][]Member // members that can be given work, by zone; this zone always has an entry, "" is all zones
	// known holds all members and this instance, by zone, whether or not they can be given
	// work: those that cannot may still be sending requests.
	known     map[string][]Member
	memberIDs []string // ids of all members and of this instance, sorted
	digest    uint64   // of the members in memberIDs; never 0
	instances int      // number of instances, including this one

	millicores     int // sum over all usable members and this instance
	zoneMillicores int // sum over those in this zone
}

// viewLocked returns the view that is valid at the given time.
func (m *Members) viewLocked(now time.Time) *view {
	if m.cachedView == nil || !now.Before(m.cachedView.validUntil) {
		m.cachedView = m.computeViewLocked(now)
	}
	return m.cachedView
}

// view returns the view that is valid now, and this instance.
func (m *Members) view() (*view, Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.viewLocked(m.now()), m.self
}

func (m *Members) computeViewLocked(now time.Time) *view {
	v := &view{
		validUntil:     now.Add(memberTTL),
		usable:         map[string][]Member{"": nil, m.self.Zone: nil},
		known:          map[string][]Member{m.self.Zone: {m.self}},
		memberIDs:      []string{m.self.ID},
		instances:      1,
		millicores:     m.self.Millicores,
		zoneMillicores: m.self.Millicores,
	}
	for id, k := range m.known {
		expiresAt := k.lastSeen.Add(memberTTL)
		if !now.Before(expiresAt) {
			m.logger.Info("instance gone", "peer", id, "peer_zone", k.Zone, "last_heard_ms", now.Sub(k.lastSeen).Milliseconds())
			delete(m.known, id)
			continue
		}
		v.memberIDs = append(v.memberIDs, id)
		v.known[k.Zone] = append(v.known[k.Zone], k.Member)
		v.instances++
		v.validAtMostUntil(expiresAt)
		switch {
		case k.Leaving:
		case !now.After(k.suspectUntil):
			v.validAtMostUntil(k.suspectUntil.Add(1))
		default:
			v.addUsable(k.Member, m.self.Zone)
		}
	}
	for zone := range v.usable {
		slices.SortFunc(v.usable[zone], func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.Sort(v.memberIDs)
	v.digest = m.digestLocked(v.memberIDs)
	return v
}

func (v *view) validAtMostUntil(until time.Time) {
	if until.Before(v.validUntil) {
		v.validUntil = until
	}
}

func (v *view) addUsable(member Member, ownZone string) {
	v.usable[""] = append(v.usable[""], member)
	v.usable[member.Zone] = append(v.usable[member.Zone], member)
	v.millicores += member.Millicores
	if member.Zone == ownZone {
		v.zoneMillicores += member.Millicores
	}
}

// knownOutside returns all members and this instance, without those of a zone.
func (v *view) knownOutside(zone string) []Member {
	var members []Member
	for other, known := range v.known {
		if other != zone {
			members = append(members, known...)
		}
	}
	return members
}

// digestLocked returns a digest of the members' ids, incarnations and leaving states.
// Instances with equal digests know the same members.
func (m *Members) digestLocked(memberIDs []string) uint64 {
	hash := xxhash.New()
	for _, id := range memberIDs {
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

// Digest returns the digest of all members and, ordered by member id, the time since any
// instance last saw each.
func (m *Members) Digest() (digest uint64, ages []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	v := m.viewLocked(now)
	for _, id := range v.memberIDs {
		age := time.Duration(0)
		if id != m.self.ID {
			age = now.Sub(m.known[id].lastSeen)
		}
		ages = append(ages, age)
	}
	return v.digest, ages
}

// MergeAges merges the times since another instance with the same digest last saw each
// member. It returns false, and merges nothing, when this instance knows other members.
func (m *Members) MergeAges(digest uint64, ages []time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	v := m.viewLocked(now)
	if v.digest != digest || len(v.memberIDs) != len(ages) {
		return false
	}
	for i, id := range v.memberIDs {
		if id == m.self.ID {
			continue
		}
		if lastSeen := now.Add(-ages[i]); lastSeen.After(m.known[id].lastSeen) {
			m.known[id].lastSeen = lastSeen
		}
	}
	return true
}
