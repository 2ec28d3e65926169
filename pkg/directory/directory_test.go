package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

const drain = 4 * time.Second

type world struct {
	now time.Time
	*Directory
}

func newWorld() *world {
	w := &world{now: time.Unix(1000, 0)}
	w.Directory = New(drain, func() time.Time { return w.now })
	return w
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

// Guards against new requests to a server that drains while another one stays,
// and against none at all when it is the last one.
func TestDrainingServerIsLastResortForHalfOfTheDrain(t *testing.T) {
	w := newWorld()
	w.Put(entry("a", 1, membership.StateLive))
	w.Put(entry("b", 1, membership.StateLive))
	assert.Equal(t, w.Put(entry("a", 1, membership.StateLeaving)).Kind, Draining)
	assert.DeepEqual(t, ids(w.Servers("s")), []string{"b"})
	assert.DeepEqual(t, ids(w.LastResort("s")), []string{"a"})
	w.Put(entry("b", 1, membership.StateLeaving))
	assert.DeepEqual(t, ids(w.Servers("s")), []string{"a", "b"})
	w.now = w.now.Add(drain/2 + time.Millisecond)
	assert.DeepEqual(t, ids(w.Servers("s")), []string{})
	assert.DeepEqual(t, ids(w.LastResort("s")), []string{})
}

// Guards against a drain whose time starts anew with each change of its entry.
func TestRepeatedDrainKeepsItsStart(t *testing.T) {
	w := newWorld()
	w.Put(entry("a", 1, membership.StateLeaving))
	w.now = w.now.Add(drain / 2)
	assert.Equal(t, w.Put(entry("a", 1, membership.StateLeaving)).Kind, Unchanged)
	w.now = w.now.Add(time.Millisecond)
	assert.DeepEqual(t, ids(w.Servers("s")), []string{})
}

// Guards against dropping the servers of a service at once when their entries
// lapse while the store is away, and against keeping them for ever.
func TestLapsedEntriesAreUsedForAWhile(t *testing.T) {
	w := newWorld()
	w.Put(entry("a", 1, membership.StateLive))
	w.Replace(nil)
	assert.DeepEqual(t, ids(w.Servers("s")), []string{"a"})
	assert.Equal(t, w.Put(entry("a", 1, membership.StateLive)).Kind, Returned)
	w.Remove("a")
	w.now = w.now.Add(drain)
	assert.DeepEqual(t, ids(w.Servers("s")), []string{})
	assert.DeepEqual(t, w.Sweep(), []string{"a"})
	staying, leaving := w.Count()
	assert.Equal(t, staying+leaving, 0)
}

// Guards against taking a new process under the same id for the one that drained.
func TestRestartUnderTheSameID(t *testing.T) {
	w := newWorld()
	w.Put(entry("a", 1, membership.StateLeaving))
	w.now = w.now.Add(drain)
	assert.Equal(t, w.Put(entry("a", 2, membership.StateLive)).Kind, Restarted)
	servers := w.Servers("s")
	assert.DeepEqual(t, ids(servers), []string{"a"})
	assert.Equal(t, servers[0].Key(), "a/2/10.0.0.1:1")
}

// Guards against a server that remains listed under the service that it left.
func TestMoveToAnotherService(t *testing.T) {
	w := newWorld()
	w.Put(entry("a", 1, membership.StateLive))
	moved := entry("a", 1, membership.StateLive)
	moved.Server.Service = "t"
	assert.Equal(t, w.Put(moved).Kind, Moved)
	assert.DeepEqual(t, ids(w.Servers("s")), []string{})
	assert.DeepEqual(t, ids(w.Servers("t")), []string{"a"})
}
