package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

const drain = 4 * time.Second

// testDirectory is a Directory with a virtual clock.
type testDirectory struct {
	now time.Time
	*Directory
}

func newTestDirectory() *testDirectory {
	d := &testDirectory{now: time.Unix(1000, 0)}
	d.Directory = New(drain, func() time.Time { return d.now })
	return d
}

func entry(id string, started int64, state membership.State) Entry {
	return Entry{
		Server:   membership.BackendServer{ID: id, Service: "s", Zone: "z", Address: "10.0.0.1:1", State: state},
		Capacity: 2,
		Started:  started,
	}
}

func ids(servers []*Server) []string {
	out := []string{}
	for _, s := range servers {
		out = append(out, s.ID)
	}
	return out
}

// Guards against sending new requests to a draining server while its service has another
// one, and against sending none if all servers of the service drain.
func TestDrainingServerIsLastResortForHalfOfTheDrain(t *testing.T) {
	d := newTestDirectory()
	d.Put(entry("a", 1, membership.StateLive))
	d.Put(entry("b", 1, membership.StateLive))
	assert.Equal(t, d.Put(entry("a", 1, membership.StateLeaving)).Kind, Draining)
	assert.DeepEqual(t, ids(d.Servers("s")), []string{"b"})
	assert.DeepEqual(t, ids(d.LastResort("s")), []string{"a"})
	d.Put(entry("b", 1, membership.StateLeaving))
	assert.DeepEqual(t, ids(d.Servers("s")), []string{"a", "b"})
	d.now = d.now.Add(drain/2 + time.Millisecond)
	assert.DeepEqual(t, ids(d.Servers("s")), []string{})
	assert.DeepEqual(t, ids(d.LastResort("s")), []string{})
}

// Guards against restarting the drain time with each update of the entry.
func TestRepeatedDrainKeepsItsStart(t *testing.T) {
	d := newTestDirectory()
	d.Put(entry("a", 1, membership.StateLeaving))
	d.now = d.now.Add(drain / 2)
	assert.Equal(t, d.Put(entry("a", 1, membership.StateLeaving)).Kind, Unchanged)
	d.now = d.now.Add(time.Millisecond)
	assert.DeepEqual(t, ids(d.Servers("s")), []string{})
}

// Guards against dropping all servers of a service at once when their entries expire while
// the store is unavailable, and against keeping such servers forever.
func TestLapsedEntriesAreUsedForAWhile(t *testing.T) {
	d := newTestDirectory()
	d.Put(entry("a", 1, membership.StateLive))
	d.Replace(nil, time.Time{})
	assert.DeepEqual(t, ids(d.Servers("s")), []string{"a"})
	assert.Equal(t, d.Put(entry("a", 1, membership.StateLive)).Kind, Returned)
	d.Remove("a", time.Time{})
	d.now = d.now.Add(drain)
	assert.DeepEqual(t, ids(d.Servers("s")), []string{})
	assert.DeepEqual(t, d.Sweep(), []string{"a"})
	staying, leaving := d.Count()
	assert.Equal(t, staying+leaving, 0)
}

// Guards against treating a new process as the drained process with the same ID.
func TestRestartUnderTheSameID(t *testing.T) {
	d := newTestDirectory()
	d.Put(entry("a", 1, membership.StateLeaving))
	d.now = d.now.Add(drain)
	assert.Equal(t, d.Put(entry("a", 2, membership.StateLive)).Kind, Restarted)
	servers := d.Servers("s")
	assert.DeepEqual(t, ids(servers), []string{"a"})
	assert.Equal(t, servers[0].Key(), "a/2/10.0.0.1:1")
}

// Guards against a server that stays listed under its former service.
func TestMoveToAnotherService(t *testing.T) {
	d := newTestDirectory()
	d.Put(entry("a", 1, membership.StateLive))
	moved := entry("a", 1, membership.StateLive)
	moved.Server.Service = "t"
	assert.Equal(t, d.Put(moved).Kind, Moved)
	assert.DeepEqual(t, ids(d.Servers("s")), []string{})
	assert.DeepEqual(t, ids(d.Servers("t")), []string{"a"})
}

// Guards against using a server that has said itself that it leaves, while the platform's list
// still calls it ready, has lost its entry, or shows the entry again.
func TestServerThatSaysItLeavesIsNotUsedAgain(t *testing.T) {
	d := newTestDirectory()
	d.Put(entry("a", 1, membership.StateLive))
	d.Put(entry("b", 1, membership.StateLive))
	d.MarkLeaving(d.byID["a"])
	assert.DeepEqual(t, ids(d.Servers("s")), []string{"b"})
	assert.DeepEqual(t, ids(d.LastResort("s")), []string{"a"})
	for _, change := range []func(){
		func() { d.Put(entry("a", 1, membership.StateLive)) },
		func() { d.Remove("a", time.Time{}) },
		func() { d.Sweep() },
		func() { d.Put(entry("a", 1, membership.StateLive)) },
		func() {
			d.Replace([]Entry{entry("a", 1, membership.StateLive), entry("b", 1, membership.StateLive)}, time.Time{})
		},
	} {
		d.now = d.now.Add(drain)
		change()
		assert.DeepEqual(t, ids(d.Servers("s")), []string{"b"})
		assert.DeepEqual(t, ids(d.LastResort("s")), []string{})
	}
	d.Put(entry("a", 2, membership.StateLive)) // a new process of the server
	assert.DeepEqual(t, ids(d.Servers("s")), []string{"a", "b"})
}

// Guards against log lines that name a run where operators look for a server.
func TestIDOfKey(t *testing.T) {
	for _, id := range []string{"i-1", "a/b", ""} {
		server := Server{BackendServer: membership.BackendServer{ID: id, Address: "10.0.0.1:1"}, Started: 5}
		assert.Equal(t, IDOfKey(server.Key()), id)
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against waits for a server that do not end when it begins to leave, and against
// waits that end although it stays.
func TestLeavesIsClosedWhenTheRunLeaves(t *testing.T) {
	for name, leave := range map[string]func(*testDirectory){
		"drains":      func(d *testDirectory) { d.Put(entry("a", 1, membership.StateLeaving)) },
		"is removed":  func(d *testDirectory) { d.Remove("a", time.Time{}) },
		"lapses":      func(d *testDirectory) { d.Replace(nil, time.Time{}) },
		"says so":     func(d *testDirectory) { d.MarkLeaving(d.Servers("s")[0]) },
		"starts anew": func(d *testDirectory) { d.Put(entry("a", 2, membership.StateLive)) },
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDirectory()
			d.Put(entry("a", 1, membership.StateLive))
			first := d.Servers("s")[0]
			warming := entry("a", 1, membership.StateLive)
			warming.WarmUp = time.Second
			d.Put(warming)
			second := d.Servers("s")[0]
			assert.Assert(t, !closed(first.Leaves()) && !closed(second.Leaves()))
			leave(d)
			assert.Assert(t, closed(first.Leaves()) && closed(second.Leaves()))
			if name != "starts anew" {
				assert.Assert(t, d.HasBegunToLeave(second))
				assert.Assert(t, !closed(d.Servers("s")[0].Leaves()))
			}
		})
	}
}

// Guards against sending to a server that was chosen before it left or started anew.
func TestMayUseFollowsTheListedRun(t *testing.T) {
	d := newTestDirectory()
	d.Put(entry("a", 1, membership.StateLive))
	chosen := d.Servers("s")[0]
	assert.Assert(t, d.MayUse(chosen))
	d.Remove("a", time.Time{})
	d.now = d.now.Add(drain / 2)
	assert.Assert(t, d.MayUse(chosen))
	d.now = d.now.Add(time.Millisecond)
	assert.Assert(t, !d.MayUse(chosen))
	d.Put(entry("a", 1, membership.StateLive))
	assert.Assert(t, d.MayUse(chosen))
	d.Put(entry("a", 2, membership.StateLive))
	assert.Assert(t, !d.MayUse(chosen))
	d.Remove("a", time.Time{})
	d.now = d.now.Add(drain)
	d.Sweep()
	assert.Assert(t, !d.MayUse(chosen) && !d.HasBegunToLeave(chosen))
}

// Guards against a last resort that ends after the drain time, when the news is late, and against
// one that does not begin for servers whose entries have expired.
func TestLastResortEndsWithTheDrainTime(t *testing.T) {
	l := lastResort{drain: drain}
	learned := time.Unix(1000, 0)
	for _, c := range []struct{ late, want, lapsed time.Duration }{
		{0, drain / 2, drain / 2},
		{drain / 4, drain / 2, drain / 2},
		{drain * 3 / 4, drain/4 - sendMargin, drain/4 - sendMargin},
		{drain, -sendMargin, drain / 5},
		{time.Hour, drain - sendMargin - time.Hour, drain / 5},
	} {
		assert.Equal(t, l.end(learned, learned.Add(-c.late)).Sub(learned), c.want, "news that may be %v late", c.late)
		assert.Equal(t, l.endOfLapsed(learned, learned.Add(-c.late)).Sub(learned), c.lapsed, "news that may be %v late", c.late)
	}
	assert.Equal(t, l.end(learned, time.Time{}).Sub(learned), drain/2)
	assert.Equal(t, l.endOfLapsed(learned, time.Time{}).Sub(learned), drain/2)
}
