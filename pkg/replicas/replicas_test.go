package replicas

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

const (
	route          = "r"
	typicalLatency = 20 * time.Millisecond
)

func serverIn(id, zone string) *directory.Server {
	return &directory.Server{BackendServer: membership.BackendServer{ID: id, Service: "s", Zone: zone}, Capacity: 2}
}

var none = func(string) bool { return false }

// testTracker is a Tracker with two replicas in different zones and a virtual clock.
type testTracker struct {
	*Tracker
	changes       []Change
	now           time.Time
	local, remote *directory.Server
}

func newTestTracker() *testTracker {
	b := &testTracker{now: time.Unix(1000, 0), local: serverIn("a", "here"), remote: serverIn("b", "there")}
	b.Tracker = New("here", wholeLimit{}, func(c Change) { b.changes = append(b.changes, c) })
	for range 50 {
		b.call(b.local, typicalLatency, Answered)
		b.call(b.remote, typicalLatency, Answered)
	}
	return b
}

func (b *testTracker) call(s *directory.Server, took time.Duration, outcome Outcome) {
	a := b.Begin(s, route, b.now, b.now.Add(time.Second))
	b.now = b.now.Add(took)
	a.End(outcome, b.now)
}

func (b *testTracker) chosen() string {
	choice, ok := b.Choose([]*directory.Server{b.local, b.remote}, route, none, b.now)
	if !ok {
		return ""
	}
	return choice.Server.ID
}

// Guards against choosing a server in another zone, whose links are slow and billed, when
// the server in this zone is as good.
func TestServerOfThisZoneIsPreferred(t *testing.T) {
	assert.Equal(t, newTestTracker().chosen(), "a")
}

// Guards against sending a request to a server that is stalled. Backend servers pause for
// 150 ms every few seconds.
func TestPausedServerIsPassedOver(t *testing.T) {
	b := newTestTracker()
	b.Begin(b.local, route, b.now, b.now.Add(time.Second))
	b.now = b.now.Add(3 * typicalLatency)
	assert.Equal(t, b.chosen(), "b")
}

// Guards against avoiding a server for seconds after one pause, which sent the requests
// of half of the shards to another zone.
func TestOnePauseDoesNotMakeAServerSlow(t *testing.T) {
	b := newTestTracker()
	b.call(b.local, 150*time.Millisecond, Answered)
	assert.Equal(t, b.chosen(), "a")
}

// Guards against continuing to choose a server that takes eight times as long as the
// others, and against never trying it again.
func TestSlowServerIsLeftAndTriedAgain(t *testing.T) {
	b := newTestTracker()
	for range 12 {
		b.call(b.local, 8*typicalLatency, Answered)
	}
	assert.Equal(t, b.chosen(), "b")
	b.now = b.now.Add(15 * time.Second)
	assert.Equal(t, b.chosen(), "a")
}

// Guards against spending the retry budget on a server that quickly refuses half of its
// requests.
func TestRefusingServerIsLeft(t *testing.T) {
	b := newTestTracker()
	for range 4 {
		b.call(b.local, time.Millisecond, Refused)
		b.call(b.local, typicalLatency, Answered)
	}
	assert.Equal(t, b.chosen(), "b")
	b.now = b.now.Add(5 * time.Second)
	assert.Equal(t, b.chosen(), "b")
}

// Guards against attempts at an address that now belongs to another server: they load
// that server's service.
func TestMisdirectedServerGetsNoAttempts(t *testing.T) {
	b := newTestTracker()
	b.call(b.local, time.Millisecond, Misdirected)
	b.call(b.remote, time.Millisecond, Misdirected)
	assert.Equal(t, b.chosen(), "")
	b.now = b.now.Add(misdirectedExclusion)
	assert.Equal(t, b.chosen(), "a")
}

// Guards against sending requests to a crashed server, and against avoiding it long after
// it has restarted.
func TestFailingServerIsEjectedForAWhile(t *testing.T) {
	b := newTestTracker()
	for range failuresToEject {
		b.call(b.local, time.Millisecond, Failed)
	}
	choice, ok := b.Choose([]*directory.Server{b.local}, route, none, b.now)
	assert.Assert(t, ok && choice.Ejected)
	b.now = b.now.Add(firstEjection)
	choice, _ = b.Choose([]*directory.Server{b.local}, route, none, b.now)
	assert.Assert(t, !choice.Ejected)
}

// Guards against applying the failures of an earlier process to a new process with the
// same ID.
func TestRestartedServerStartsNeutral(t *testing.T) {
	b := newTestTracker()
	for range failuresToEject {
		b.call(b.local, time.Millisecond, Failed)
	}
	b.local.Started = 7
	assert.Equal(t, b.chosen(), "a")
}

// Guards against unbounded memory for servers that no longer exist.
func TestServersThatLeftAreForgotten(t *testing.T) {
	b := newTestTracker()
	b.now = b.now.Add(forgetAfter + sweepInterval)
	b.call(serverIn("c", "here"), typicalLatency, Answered)
	assert.Equal(t, len(b.servers), 1)
}

// Guards against a health change without a log line, and against a log line for each
// failure of a server that is already ejected.
func TestHealthChangesAreReportedOnce(t *testing.T) {
	b := newTestTracker()
	assert.Equal(t, len(b.changes), 0)
	for range 5 {
		b.call(b.local, typicalLatency, Failed)
		b.now = b.now.Add(maxEjection)
	}
	b.call(b.local, typicalLatency, Answered)
	for range 2 {
		b.call(b.local, typicalLatency, Expired) // shorter than stallFactor times the typical latency: no effect
		b.call(b.local, 4*typicalLatency, Expired)
		b.now = b.now.Add(maxPause)
	}
	for range fastRepliesToLift {
		b.call(b.local, typicalLatency, Answered)
	}
	var kinds []ChangeKind
	for _, c := range b.changes {
		assert.Equal(t, c.Server, b.local.ID)
		kinds = append(kinds, c.Kind)
	}
	assert.DeepEqual(t, kinds, []ChangeKind{ChangeEjected, ChangeReturned, ChangeLimited, ChangeLimitLifted})
	assert.Equal(t, b.changes[0].Failures, failuresToEject)
}
