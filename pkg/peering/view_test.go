package peering

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

// Guards against using a cached view after a member or the passing of time has
// invalidated it.
func TestCachedViewEqualsComputedView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, c := newMembers()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprintf("p%d", rapid.IntRange(0, 4).Draw(t, "member"))
			member := memberIn(id, rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"))
			member.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			member.Leaving = rapid.Float64Range(0, 1).Draw(t, "leaving") > 0.9
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				m.Merge(member, time.Duration(rapid.IntRange(0, 14).Draw(t, "age"))*time.Second)
			case 1:
				m.RecordCall(id, rapid.Bool().Draw(t, "answers"))
			case 2:
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "passed")) * time.Millisecond)
			case 3:
				c.now = c.now.Add(initialSuspicion)
			default:
				digest, ages := m.Digest()
				assert.Assert(t, m.MergeAges(digest, ages))
			}
			cached, digest := m.Usable(""), m.cachedView.digest
			share, zoneShare, remote, count := m.Share(), m.ZoneShare(), m.RemoteInstances(), m.Count()
			m.cachedView = nil
			assert.DeepEqual(t, m.Usable(""), cached)
			assert.Equal(t, m.cachedView.digest, digest)
			assert.DeepEqual(t, []float64{m.Share(), m.ZoneShare(), float64(m.RemoteInstances()), float64(m.Count())},
				[]float64{share, zoneShare, float64(remote), float64(count)})
		}
	})
}

// newTestExchanger returns the exchanger of an instance that knows the given members. It
// has no client for calls over the network.
func newTestExchanger(self string, known []string) *Exchanger {
	m, _ := newMembers()
	m.self = memberIn(self, "z1")
	for _, id := range known {
		if id != self {
			m.Merge(memberIn(id, "z1"), time.Second)
		}
	}
	reporter := NewSuspectReporter(m, nil, nil, suspects.NewTracker(func(suspects.Change) {}))
	return NewExchanger(m, nil, nil, reporter, nil)
}

// Guards against listing all members in each message when nothing has changed. The
// target is 440 instances: each starts and answers two exchanges a second, eight
// messages in total, and may send and receive 9 kB of control messages a second.
func TestKnownMembersAreNotNamedAgain(t *testing.T) {
	var ids []string
	for i := range 440 {
		ids = append(ids, fmt.Sprintf("instance-zone-a-%d", i))
	}
	one, other := newTestExchanger(ids[0], ids), newTestExchanger(ids[1], ids)
	request := one.digestMessage()
	reply := other.Answer(request)
	const maxMessageSize = 9000 / 8
	assert.Assert(t, proto.Size(request) <= maxMessageSize, "%d bytes", proto.Size(request))
	assert.Assert(t, proto.Size(reply) <= maxMessageSize, "%d bytes", proto.Size(reply))
	assert.Equal(t, len(reply.GetMembers()), 0)
}

// Guards against assigning an age to the wrong member, and against removing members that
// another instance has just seen.
func TestAgesTravelWithoutNames(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	one, other := newTestExchanger("a", ids), newTestExchanger("b", ids)
	one.members.Merge(memberIn("d", "z1"), 0)
	other.members.Merge(memberIn("c", "z1"), 200*time.Millisecond)
	one.merge(other.Answer(one.digestMessage()))
	for _, e := range []*Exchanger{one, other} {
		members, ages := e.members.All()
		for i, member := range members {
			want := map[string]time.Duration{"a": 0, "b": 0, "c": 200 * time.Millisecond, "d": 0}[member.ID]
			assert.Equal(t, ages[i], want, member.ID)
		}
	}
}

// Guards against instances that keep different lists of members, or that miss that a
// member is leaving or has restarted.
func TestDifferentMembersAreExchanged(t *testing.T) {
	restarted, leaving := memberIn("c", "z1"), memberIn("d", "z1")
	restarted.Incarnation = 9
	leaving.Leaving = true
	for name, change := range map[string]func(m *Members){
		"new":       func(m *Members) { m.Merge(memberIn("x", "z1"), 0) },
		"restarted": func(m *Members) { m.Merge(restarted, 0) },
		"leaving":   func(m *Members) { m.Merge(leaving, 0) },
	} {
		ids := []string{"a", "b", "c", "d"}
		one, other := newTestExchanger("a", ids), newTestExchanger("b", ids)
		change(one.members)
		reply := other.Answer(one.digestMessage())
		assert.Assert(t, len(reply.GetMembers()) > 0, name)
		one.merge(reply)
		other.Answer(one.fullMessage())
		a, _ := one.members.Digest()
		b, _ := other.members.Digest()
		assert.Equal(t, a, b, name)
		assert.Assert(t, other.merge(one.digestMessage()), name)
	}
}

// An instance is stopped, its clock goes back, and it starts again. Guards against other
// instances that keep the earlier run, which is leaving, and give the new run no work
// until the earlier one is removed.
func TestRestartWithAnEarlierClockIsNoticed(t *testing.T) {
	ids := []string{"a", "b", "c"}
	one, other := newTestExchanger("a", ids), newTestExchanger("b", ids)
	stopped := memberIn("a", "z1")
	stopped.Incarnation, stopped.Leaving = 5000, true
	other.members.Merge(stopped, 0)
	one.members.self.Incarnation = 2000
	for range 2 {
		one.merge(other.Answer(one.digestMessage()))
		other.Answer(one.fullMessage())
	}
	assert.DeepEqual(t, usableIDs(other.members, ""), []string{"a", "c"})
	assert.Assert(t, other.merge(one.digestMessage()))
}

// BenchmarkSharing measures the queries to the members that one attempt at a backend
// server makes.
func BenchmarkSharing(b *testing.B) {
	m, _ := newMembers()
	for i := range 79 {
		m.Merge(memberIn(fmt.Sprintf("p%d", i), fmt.Sprintf("z%d", i%4)), 0)
	}
	relays := NewRelays(m, nil)
	for b.Loop() {
		_, _, _ = m.ZoneShare(), m.RemoteInstances(), m.Share()
		relays.Stronger()
	}
}
