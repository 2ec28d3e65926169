package peering

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func newMembers() (*Members, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	return NewMembers(Member{ID: "self", Zone: "z1"}, c.read, slog.New(slog.DiscardHandler)), c
}

func memberIn(id, zone string) Member {
	return Member{ID: id, Zone: zone, Address: "10.0.0.1:1", Incarnation: 1, Millicores: 400}
}

func usable(m *Members, zone string) []string {
	ids := []string{}
	for _, member := range m.Usable(zone) {
		ids = append(ids, member.ID)
	}
	return ids
}

// Guards against work for an instance that is frozen or cut off, and against
// leaving one out because of a single lost packet.
func TestSilentMemberIsSuspectedAfterTwoFailures(t *testing.T) {
	m, c := newMembers()
	m.Learn(memberIn("a", "z1"), 0)
	m.Report("a", false)
	assert.DeepEqual(t, usable(m, "z1"), []string{"a"})
	m.Report("a", false)
	assert.DeepEqual(t, usable(m, "z1"), []string{})
	c.now = c.now.Add(firstSuspicion + time.Millisecond)
	assert.DeepEqual(t, usable(m, "z1"), []string{"a"})
	m.Report("a", false)
	c.now = c.now.Add(firstSuspicion + time.Millisecond)
	assert.DeepEqual(t, usable(m, "z1"), []string{})
	m.Report("a", true)
	assert.DeepEqual(t, usable(m, "z1"), []string{"a"})
}

// Guards against work for an instance that is shutting down, and against leaving
// its next run out.
func TestLeavingMemberGetsNoWork(t *testing.T) {
	m, _ := newMembers()
	leaving := memberIn("a", "z1")
	leaving.Leaving = true
	m.Learn(memberIn("a", "z1"), 0)
	m.Learn(leaving, 0)
	assert.DeepEqual(t, usable(m, "z1"), []string{})
	// Older news of the same run must not bring it back.
	m.Learn(memberIn("a", "z1"), time.Second)
	assert.DeepEqual(t, usable(m, "z1"), []string{})
	next := memberIn("a", "z1")
	next.Incarnation = 2
	m.Learn(next, 0)
	assert.DeepEqual(t, usable(m, "z1"), []string{"a"})
}

// Guards against instances that stay known for ever after they are gone, and
// against news that keep each other alive: an age passed on only grows.
func TestMemberIsForgottenWhenNobodyHearsOfIt(t *testing.T) {
	m, c := newMembers()
	m.Learn(memberIn("a", "z1"), 0)
	c.now = c.now.Add(forgetAfter / 2)
	m.Learn(memberIn("a", "z1"), forgetAfter/2)
	c.now = c.now.Add(forgetAfter / 2)
	assert.DeepEqual(t, usable(m, ""), []string{})
	members, _ := m.Listed()
	assert.Equal(t, len(members), 0)
}

// Guards against a partition that gives each side the whole of a common budget, and
// against a new instance that takes it because it knows nobody yet.
func TestCountDoesNotShrinkWithAPartition(t *testing.T) {
	m, c := newMembers()
	assert.Equal(t, m.Count(), assumedMembers)
	for _, id := range []string{"a", "b", "c"} {
		m.Learn(memberIn(id, "z2"), 0)
	}
	c.now = c.now.Add(settleTime)
	assert.Equal(t, m.Count(), 4)
	c.now = c.now.Add(forgetAfter)
	assert.Equal(t, m.Count(), 4)
	c.now = c.now.Add(countMemory)
	assert.Equal(t, m.Count(), 1)
}

// Guards against shares of a budget that add up to more than all of it, and against
// equal ones for unlike machines, most of whose requests a strong one executes.
func TestSharesFollowProcessorTime(t *testing.T) {
	cores := map[string]int{"a": 800, "b": 200, "c": 200, "d": 200}
	sum := 0.0
	for self := range cores {
		m, c := newMembers()
		m.self = memberIn(self, "z1")
		m.self.Millicores = cores[self]
		for id, millicores := range cores {
			other := memberIn(id, "z1")
			other.Millicores = millicores
			m.Learn(other, 0)
		}
		c.now = c.now.Add(settleTime)
		share := m.Share()
		sum += share
		if self == "a" {
			assert.Assert(t, share > 0.5, "%v", share)
			assert.Assert(t, m.ZoneShare() > 0.5, "%v", m.ZoneShare())
		}
	}
	assert.Assert(t, sum < 1.001, "%v", sum)
}

// Guards against relays that change with every request, whose connections would be
// cold, and against the same relay for all instances.
func TestRelaysAreFewAndSpread(t *testing.T) {
	loads := map[string]int{}
	for i := range 60 {
		m, _ := newMembers()
		m.self.ID = "self" + string(rune('0'+i))
		for j := range 10 {
			strong := memberIn("p"+string(rune('0'+j)), "z2")
			if j < 2 {
				strong.Millicores = 1600
			}
			m.Learn(strong, 0)
		}
		relays := NewRelays(m, nil)
		first := relays.preferred("z2")
		assert.Equal(t, len(first), relaysPerZone)
		assert.DeepEqual(t, first, relays.preferred("z2"))
		for _, r := range first {
			loads[r.ID]++
		}
	}
	assert.Assert(t, len(loads) >= 8, "%v", loads)
	// Two of ten members have half of the processor time.
	assert.Assert(t, loads["p0"]+loads["p1"] > 30, "%v", loads)
	assert.Assert(t, loads["p0"]+loads["p1"] < 90, "%v", loads)
}

// Guards against two readers in a zone whose instances know the same members, and
// against none.
func TestOneReaderForEachZone(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	readers := 0
	for _, self := range ids {
		m, _ := newMembers()
		m.self = memberIn(self, "z1")
		for _, id := range ids {
			m.Learn(memberIn(id, "z1"), 0)
		}
		m.Learn(memberIn("e", "z2"), 0)
		if NewSources(m, nil).Reader() == nil {
			readers++
		}
	}
	assert.Equal(t, readers, 1)
}

// The pattern: a series of changes in the store, which its reader passes on to all others
// of the zone. Guards against a reader with a narrow link while there is a stronger
// instance.
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
					m.Learn(member(id), 0)
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
// against following the one that has failed.
func TestDeputiesAreFewAndNotTheReader(t *testing.T) {
	var ids []string
	for i := range 20 {
		ids = append(ids, "p"+string(rune('a'+i)))
	}
	direct, followed := 0, map[string]bool{}
	reader := ""
	for _, self := range ids {
		m, _ := newMembers()
		m.self = memberIn(self, "z1")
		for _, id := range ids {
			m.Learn(memberIn(id, "z1"), 0)
		}
		sources := NewSources(m, nil)
		if r := sources.Reader(); r != nil {
			reader = r.ID()
		}
		if sources.Deputy(0) == nil {
			direct++
			continue
		}
		followed[sources.Deputy(0).ID()] = true
		assert.Assert(t, sources.Deputy(deputies) == nil)
	}
	assert.Equal(t, direct, 2, "the reader and its first deputy")
	assert.Equal(t, len(followed), 1)
	assert.Assert(t, !followed[reader])
}

// Guards against an instance of a small zone that waits for deputies.
func TestSmallZoneHasNoDeputies(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	assert.Equal(t, len(ids), smallZone)
	for _, self := range ids {
		m, _ := newMembers()
		m.self = memberIn(self, "z1")
		for _, id := range ids {
			m.Learn(memberIn(id, "z1"), 0)
		}
		assert.Assert(t, NewSources(m, nil).Deputy(0) == nil)
	}
}
