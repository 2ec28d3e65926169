package peering

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time { return c.now }

func newMembers() (*Members, *fakeClock) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	return NewMembers(Member{ID: "self", Zone: "z1"}, c.read, slog.New(slog.DiscardHandler)), c
}

func memberIn(id, zone string) Member {
	return Member{ID: id, Zone: zone, Address: "10.0.0.1:1", Incarnation: 1, Millicores: 400}
}

func usableIDs(m *Members, zone string) []string {
	ids := []string{}
	for _, member := range m.Usable(zone) {
		ids = append(ids, member.ID)
	}
	return ids
}

// Guards against giving work to an instance that is frozen or cut off, and against
// giving none to an instance because of a single lost packet.
func TestSilentMemberIsSuspectedAfterTwoFailures(t *testing.T) {
	m, c := newMembers()
	m.Merge(memberIn("a", "z1"), 0)
	m.RecordCall("a", false)
	assert.DeepEqual(t, usableIDs(m, "z1"), []string{"a"})
	m.RecordCall("a", false)
	assert.DeepEqual(t, usableIDs(m, "z1"), []string{})
	c.now = c.now.Add(initialSuspicion + time.Millisecond)
	assert.DeepEqual(t, usableIDs(m, "z1"), []string{"a"})
	m.RecordCall("a", false)
	c.now = c.now.Add(initialSuspicion + time.Millisecond)
	assert.DeepEqual(t, usableIDs(m, "z1"), []string{})
	m.RecordCall("a", true)
	assert.DeepEqual(t, usableIDs(m, "z1"), []string{"a"})
}

// Guards against giving work to an instance that is shutting down, and against giving
// none to its next run.
func TestLeavingMemberGetsNoWork(t *testing.T) {
	m, _ := newMembers()
	leaving := memberIn("a", "z1")
	leaving.Leaving = true
	m.Merge(memberIn("a", "z1"), 0)
	m.Merge(leaving, 0)
	assert.DeepEqual(t, usableIDs(m, "z1"), []string{})
	// An older message about the same run must not make the member usable again.
	m.Merge(memberIn("a", "z1"), time.Second)
	assert.DeepEqual(t, usableIDs(m, "z1"), []string{})
	next := memberIn("a", "z1")
	next.Incarnation = 2
	m.Merge(next, 0)
	assert.DeepEqual(t, usableIDs(m, "z1"), []string{"a"})
}

// Guards against members that stay known forever after their instance has gone.
// Instances that tell each other of such a member must not refresh its age.
func TestMemberIsRemovedWhenNoInstanceSeesIt(t *testing.T) {
	m, c := newMembers()
	m.Merge(memberIn("a", "z1"), 0)
	c.now = c.now.Add(memberTTL / 2)
	m.Merge(memberIn("a", "z1"), memberTTL/2)
	c.now = c.now.Add(memberTTL / 2)
	assert.DeepEqual(t, usableIDs(m, ""), []string{})
	members, _ := m.All()
	assert.Equal(t, len(members), 0)
}

// Guards against a network partition that gives each side the whole of a common budget,
// and against a starting instance that takes all of the budget because it knows no
// others yet.
func TestCountDoesNotShrinkWithAPartition(t *testing.T) {
	m, c := newMembers()
	assert.Equal(t, m.Count(), startupMemberCount)
	for _, id := range []string{"a", "b", "c"} {
		m.Merge(memberIn(id, "z2"), 0)
	}
	c.now = c.now.Add(startupPeriod)
	assert.Equal(t, m.Count(), 4)
	c.now = c.now.Add(memberTTL)
	assert.Equal(t, m.Count(), 4)
	c.now = c.now.Add(peakCountWindow)
	assert.Equal(t, m.Count(), 1)
}

// Guards against shares that add up to more than the budget, and against equal shares
// for machines of different strength, of which a strong one executes most of the
// requests.
func TestSharesFollowProcessorTime(t *testing.T) {
	millicoresOf := map[string]int{"a": 800, "b": 200, "c": 200, "d": 200}
	sum := 0.0
	for self := range millicoresOf {
		m, c := newMembers()
		m.self = memberIn(self, "z1")
		m.self.Millicores = millicoresOf[self]
		for id, millicores := range millicoresOf {
			other := memberIn(id, "z1")
			other.Millicores = millicores
			m.Merge(other, 0)
		}
		c.now = c.now.Add(startupPeriod)
		share := m.Share()
		sum += share
		if self == "a" {
			assert.Assert(t, share > 0.5, "%v", share)
			assert.Assert(t, m.ZoneShare() > 0.5, "%v", m.ZoneShare())
		}
	}
	assert.Assert(t, sum < 1.001, "%v", sum)
}

// Guards against choosing other relays for each request, whose connections would be
// cold, and against all instances choosing the same relay.
func TestRelaysAreFewAndSpread(t *testing.T) {
	chosenBy := relaysChosenBy60(t, func(*Member) {})
	assert.Equal(t, len(chosenBy), 10, "%v", chosenBy)
	for id, count := range chosenBy {
		assert.Assert(t, count < 30, "%s %d", id, count)
	}
}

// Guards against relays in other zones that take as long to call the servers of all shards as
// their sender would: weak instances were chosen in proportion to their processor time, although
// two strong ones with half of it stood beside them.
func TestWeakInstancesAreNoRelaysBesideStrongOnes(t *testing.T) {
	chosenBy := relaysChosenBy60(t, func(m *Member) {
		if m.ID == "p0" || m.ID == "p1" || m.ID == "p2" {
			m.Millicores = 1600
		}
	})
	assert.Equal(t, chosenBy["p0"]+chosenBy["p1"]+chosenBy["p2"], 60*relaysPerZone)
	for id, count := range chosenBy {
		assert.Assert(t, count > 20 && count < 60, "%s %d", id, count)
	}
}

// relaysChosenBy60 returns how many of 60 instances choose each of ten members of another zone.
func relaysChosenBy60(t *testing.T, change func(*Member)) map[string]int {
	chosenBy := map[string]int{}
	for i := range 60 {
		m, _ := newMembers()
		m.self.ID = "self" + string(rune('0'+i))
		for j := range 10 {
			member := memberIn("p"+string(rune('0'+j)), "z2")
			change(&member)
			m.Merge(member, 0)
		}
		relays := NewRelays(m, nil)
		preferred := relays.preferred("z2")
		assert.Equal(t, len(preferred), relaysPerZone)
		assert.DeepEqual(t, preferred, relays.preferred("z2"))
		for _, r := range preferred {
			chosenBy[r.ID]++
		}
	}
	return chosenBy
}

// Guards against two readers, or none, in a zone whose instances know the same members.
func TestOneReaderForEachZone(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	readers := 0
	for _, self := range ids {
		m, _ := newMembers()
		m.self = memberIn(self, "z1")
		for _, id := range ids {
			m.Merge(memberIn(id, "z1"), 0)
		}
		m.Merge(memberIn("e", "z2"), 0)
		if NewSources(m, nil).Reader() == nil {
			readers++
		}
	}
	assert.Equal(t, readers, 1)
}

// The reader of the store passes each change on to all other instances of its zone.
// Guards against choosing a reader with a slow link when there is a stronger instance.
func TestStrongestInstanceReads(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, strong := range ids {
		member := func(id string) Member {
			m := memberIn(id, "z1")
			if id == strong {
				m.Millicores *= 4
			}
			return m
		}
		for _, self := range ids {
			m := NewMembers(member(self), time.Now, slog.New(slog.DiscardHandler))
			for _, id := range ids {
				if id != self {
					m.Merge(member(id), 0)
				}
			}
			reader := NewSources(m, nil).Reader()
			if self == strong {
				assert.Assert(t, reader == nil)
				continue
			}
			assert.Equal(t, reader.ID(), strong)
		}
	}
}

// Guards against a zone whose instances all call the store when its reader fails, and
// against choosing the failed reader as its own standby.
func TestStandbyReadersAreFewAndNotTheReader(t *testing.T) {
	var ids []string
	for i := range 20 {
		ids = append(ids, "p"+string(rune('a'+i)))
	}
	storeReaders, standbys := 0, map[string]bool{}
	reader := ""
	for _, self := range ids {
		m, _ := newMembers()
		m.self = memberIn(self, "z1")
		for _, id := range ids {
			m.Merge(memberIn(id, "z1"), 0)
		}
		sources := NewSources(m, nil)
		if r := sources.Reader(); r != nil {
			reader = r.ID()
		}
		if sources.Standby(0) == nil {
			storeReaders++
			continue
		}
		standbys[sources.Standby(0).ID()] = true
		assert.Assert(t, sources.Standby(maxStandbyReaders) == nil)
	}
	assert.Equal(t, storeReaders, 2, "the reader and its first standby")
	assert.Equal(t, len(standbys), 1)
	assert.Assert(t, !standbys[reader])
}

// Guards against waiting for standby readers in a small zone.
func TestSmallZoneHasNoStandbyReaders(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	assert.Equal(t, len(ids), maxZoneWithoutStandby)
	for _, self := range ids {
		m, _ := newMembers()
		m.self = memberIn(self, "z1")
		for _, id := range ids {
			m.Merge(memberIn(id, "z1"), 0)
		}
		assert.Assert(t, NewSources(m, nil).Standby(0) == nil)
	}
}
