package replicas

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/zonechoice"
)

// fixedTrip is the round trip to all other zones; 0 is unknown.
type fixedTrip time.Duration

func (f fixedTrip) RoundTrip(string) (time.Duration, bool) { return time.Duration(f), f != 0 }

// newZoneTracker returns a test tracker whose chooser decides about zones.
func newZoneTracker(trip time.Duration) *testTracker {
	b := &testTracker{now: time.Unix(1000, 0), local: serverIn("a", "here"), remote: serverIn("b", "there")}
	b.Tracker = New("here", wholeLimit{}, func(c Change) { b.changes = append(b.changes, c) })
	b.DecideZonesBy(zonechoice.New(zonechoice.DefaultCostPerKiB, func() float64 { return 0.5 }, func(zonechoice.Change) {}), fixedTrip(trip))
	for range 50 {
		b.call(b.local, typicalLatency, Answered)
	}
	return b
}

// sentOut returns how many of n first attempts leave, one each 10 ms. The local server is
// observed to take the given time throughout.
func (b *testTracker) sentOut(n int, took time.Duration) int {
	left := 0
	for range n {
		a := b.Begin(b.local, route, b.now.Add(-took), b.now.Add(time.Second))
		a.End(Answered, b.now)
		choice, _ := b.ChooseFirst([]*directory.Server{b.local, b.remote}, route, b.DrawZone(route), none, b.now)
		if choice.Server.Zone != "here" {
			left++
		}
		b.now = b.now.Add(10 * time.Millisecond)
	}
	return left
}

// Guards against all requests that leave a full zone at once, and against none.
func TestZoneFullSendsOutAShare(t *testing.T) {
	b := newZoneTracker(5 * time.Millisecond)
	assert.Equal(t, b.sentOut(100, typicalLatency), 0)
	soon := b.sentOut(60, 5*typicalLatency/2)
	assert.Assert(t, soon < 20, "%d of 60 left", soon)
	later := b.sentOut(300, 5*typicalLatency/2)
	assert.Assert(t, later > 100 && later < 270, "%d of 300 left", later)
}

// Guards against seconds of requests for a server that has become many times slower, while the
// share that leaves rises in steps.
func TestMuchSlowerZoneSendsOutAtOnce(t *testing.T) {
	b := newZoneTracker(5 * time.Millisecond)
	assert.Equal(t, b.sentOut(100, typicalLatency), 0)
	soon := b.sentOut(60, 8*typicalLatency)
	assert.Assert(t, soon > 40, "%d of 60 left", soon)
}

// Guards against requests for servers that have crashed while another zone has one.
func TestZoneGoneSendsOutEverything(t *testing.T) {
	b := newZoneTracker(5 * time.Millisecond)
	for range failuresToEject {
		b.call(b.local, time.Millisecond, Failed)
	}
	choice, ok := b.ChooseFirst([]*directory.Server{b.local, b.remote}, route, 0.999, none, b.now)
	assert.Assert(t, ok)
	assert.Equal(t, choice.Server.ID, "b")
	choice, ok = b.ChooseFirst([]*directory.Server{b.local}, route, 0, none, b.now)
	assert.Assert(t, ok, "an ejected server is the only one")
	assert.Equal(t, choice.Server.ID, "a")
}

// Guards against counting the way between zones twice: as the round trip, and as slowness of
// the servers there. All replies from there would look slow, and the route too.
func TestRoundTripIsNoSlowness(t *testing.T) {
	b := newZoneTracker(30 * time.Millisecond)
	for range 100 {
		b.call(b.remote, typicalLatency+30*time.Millisecond, Answered)
	}
	latency, _ := b.TypicalLatency(route)
	assert.Assert(t, latency < typicalLatency*11/10, "%v", latency)
	assert.Assert(t, b.servers[b.remote.Key()].slowness < 1.1)
}

// Guards against another preference than the fixed factor has while the round trip is
// unknown.
func TestUnknownRoundTripDoublesTheScore(t *testing.T) {
	b := newZoneTracker(0)
	for _, test := range []struct {
		slowness float64
		chosen   string
	}{{1.9, "a"}, {2.1, "b"}} {
		b.servers[b.local.Key()].slowness = test.slowness
		assert.Equal(t, b.chosen(), test.chosen)
	}
}

// Guards against a hedge to a slow server of this zone when one of another zone is expected
// to answer sooner. For a retry the bytes count.
func TestHedgeGoesWhereItIsSooner(t *testing.T) {
	b := newZoneTracker(10 * time.Millisecond)
	b.RecordExchange(route, 4096)
	b.servers[b.local.Key()].slowness = 1.8
	servers := []*directory.Server{b.local, b.remote}
	choice, _ := b.ChooseHedge(servers, route, none, b.now)
	assert.Equal(t, choice.Server.ID, "b")
	choice, _ = b.Choose(servers, route, none, b.now)
	assert.Equal(t, choice.Server.ID, "a")
}

// Guards against a choice among the servers of one zone that differs from that by the score.
func TestChoiceWithinAZoneIsByScore(t *testing.T) {
	b := newZoneTracker(10 * time.Millisecond)
	second := serverIn("c", "here")
	b.Begin(b.local, route, b.now, b.now)
	choice, _ := b.ChooseFirst([]*directory.Server{b.local, b.remote, second}, route, 0.5, none, b.now)
	assert.Equal(t, choice.Server.ID, "c")
}

// Guards against taking an overload of all servers for the usual state of a route: nothing
// would leave any more.
func TestOverloadDoesNotBecomeUsual(t *testing.T) {
	b := newZoneTracker(5 * time.Millisecond)
	for range 200 {
		b.call(b.local, 10*typicalLatency, Answered) // 40 s
	}
	typical, _ := b.TypicalLatency(route)
	assert.Assert(t, typical > 5*typicalLatency)
	assert.Assert(t, b.latencies[route].usual.value < 2*typicalLatency, "%v", b.latencies[route].usual.value)
}

// Guards against an overload of this zone that makes the other one look full: replies from
// there are rare, and the typical latency, which the replies here raise, changes within a
// second. Shares then returned whenever they were needed.
func TestOverloadHereDoesNotSlowTheOtherZone(t *testing.T) {
	b := newZoneTracker(5 * time.Millisecond)
	b.RecordRelayedTime("s", "there", route, typicalLatency+5*time.Millisecond, b.now)
	for range 20 {
		for range 5 {
			a := b.Begin(b.local, route, b.now.Add(-8*typicalLatency), b.now.Add(time.Second))
			a.End(Answered, b.now)
		}
		b.now = b.now.Add(5 * time.Millisecond)
	}
	typical, _ := b.TypicalLatency(route)
	assert.Assert(t, typical > 4*typicalLatency)
	standings := b.Standings([]*directory.Server{b.local, b.remote}, route, b.now)
	assert.Assert(t, standings[0].Expected > 4*typicalLatency, "%v", standings[0].Expected)
	assert.Assert(t, standings[1].Expected < typicalLatency*5/4, "%v", standings[1].Expected)
}
