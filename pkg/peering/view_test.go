package peering

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a view that is kept although a member or time has changed it.
func TestKeptViewEqualsAComputedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, c := newMembers()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprintf("p%d", rapid.IntRange(0, 4).Draw(t, "member"))
			member := memberIn(id, rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"))
			member.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			member.Leaving = rapid.Float64Range(0, 1).Draw(t, "leaving") > 0.9
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				m.Learn(member, time.Duration(rapid.IntRange(0, 14).Draw(t, "age"))*time.Second)
			case 1:
				m.Report(id, rapid.Bool().Draw(t, "answers"))
			case 2:
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "passed")) * time.Millisecond)
			case 3:
				c.now = c.now.Add(firstSuspicion)
			default:
				digest, ages := m.Digest()
				assert.Assert(t, m.LearnAges(digest, ages))
			}
			kept, digest := m.Usable(""), m.current.digest
			share, zoneShare, remote, count := m.Share(), m.ZoneShare(), m.RemoteInstances(), m.Count()
			m.current = nil
			assert.DeepEqual(t, m.Usable(""), kept)
			assert.Equal(t, m.current.digest, digest)
			assert.DeepEqual(t, []float64{m.Share(), m.ZoneShare(), float64(m.RemoteInstances()), float64(m.Count())},
				[]float64{share, zoneShare, float64(remote), float64(count)})
		}
	})
}

// exchangerOf returns an instance that knows the members, for exchanges without network.
func exchangerOf(self string, known []string) *Exchanger {
	m, _ := newMembers()
	m.self = memberIn(self, "z1")
	for _, id := range known {
		if id != self {
			m.Learn(memberIn(id, "z1"), time.Second)
		}
	}
	return NewExchanger(m, nil, nil, nil)
}

// The pattern: the target of 440 instances in steady state. Guards against messages that
// name all of them each time: an instance starts and answers two exchanges a second, eight
// messages together, and may send and receive 9 kB of control messages in it.
func TestKnownMembersAreNotNamedAgain(t *testing.T) {
	var ids []string
	for i := range 440 {
		ids = append(ids, fmt.Sprintf("instance-zone-a-%d", i))
	}
	one, other := exchangerOf(ids[0], ids), exchangerOf(ids[1], ids)
	request := one.message()
	reply := other.Answer(request)
	const most = 9000 / 8
	assert.Assert(t, proto.Size(request) <= most, "%d bytes", proto.Size(request))
	assert.Assert(t, proto.Size(reply) <= most, "%d bytes", proto.Size(reply))
	assert.Equal(t, len(reply.GetMembers()), 0)
}

// Guards against ages that are taken for those of other members, and against members
// that are forgotten although another instance has just heard of them.
func TestAgesTravelWithoutNames(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	one, other := exchangerOf("a", ids), exchangerOf("b", ids)
	one.members.Learn(memberIn("d", "z1"), 0)
	other.members.Learn(memberIn("c", "z1"), 200*time.Millisecond)
	one.take(other.Answer(one.message()))
	for _, e := range []*Exchanger{one, other} {
		members, ages := e.members.Listed()
		for i, member := range members {
			want := map[string]time.Duration{"a": 0, "b": 0, "c": 200 * time.Millisecond, "d": 0}[member.ID]
			assert.Equal(t, ages[i], want, member.ID)
		}
	}
}

// Guards against instances that go on with different members, or miss that one leaves or
// has restarted.
func TestDifferentMembersAreExchanged(t *testing.T) {
	restarted, leaving := memberIn("c", "z1"), memberIn("d", "z1")
	restarted.Incarnation = 9
	leaving.Leaving = true
	for name, change := range map[string]func(m *Members){
		"new":       func(m *Members) { m.Learn(memberIn("x", "z1"), 0) },
		"restarted": func(m *Members) { m.Learn(restarted, 0) },
		"leaving":   func(m *Members) { m.Learn(leaving, 0) },
	} {
		ids := []string{"a", "b", "c", "d"}
		one, other := exchangerOf("a", ids), exchangerOf("b", ids)
		change(one.members)
		reply := other.Answer(one.message())
		assert.Assert(t, len(reply.GetMembers()) > 0, name)
		one.take(reply)
		other.Answer(one.everything())
		a, _ := one.members.Digest()
		b, _ := other.members.Digest()
		assert.Equal(t, a, b, name)
		assert.Assert(t, other.take(one.message()), name)
	}
}

// The pattern: an instance is stopped, its clock goes back, and it starts again. Guards
// against other instances that keep to the earlier run, which is leaving, and give the new
// one no work until they have forgotten it.
func TestRestartWithAnEarlierClockIsNoticed(t *testing.T) {
	ids := []string{"a", "b", "c"}
	one, other := exchangerOf("a", ids), exchangerOf("b", ids)
	stopped := memberIn("a", "z1")
	stopped.Incarnation, stopped.Leaving = 5000, true
	other.members.Learn(stopped, 0)
	one.members.self.Incarnation = 2000
	for range 2 {
		one.take(other.Answer(one.message()))
		other.Answer(one.everything())
	}
	assert.DeepEqual(t, usable(other.members, ""), []string{"a", "c"})
	assert.Assert(t, other.take(one.message()))
}

// BenchmarkSharing is what one attempt at a backend server asks of the members.
func BenchmarkSharing(b *testing.B) {
	m, _ := newMembers()
	for i := range 79 {
		m.Learn(memberIn(fmt.Sprintf("p%d", i), fmt.Sprintf("z%d", i%4)), 0)
	}
	relays := NewRelays(m, nil)
	for b.Loop() {
		_, _, _ = m.ZoneShare(), m.RemoteInstances(), m.Share()
		relays.Stronger()
	}
}
