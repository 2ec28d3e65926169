package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// entryIn returns the entry of a server in a zone.
func entryIn(zone, id string, state membership.State) Entry {
	e := entry(id, 1, state)
	e.Server.Zone = zone
	return e
}

// Guards against a server of a drained zone in any list, also as a last resort and when its
// entry is written anew, and against a zone that does not return.
func TestServersOfDrainedZoneAreNotUsed(t *testing.T) {
	for name, change := range map[string]func(d *testDirectory){
		"drained":               func(*testDirectory) {},
		"entry written anew":    func(d *testDirectory) { d.Put(entryIn("z0", "a", membership.StateLive)) },
		"server leaves":         func(d *testDirectory) { d.Put(entryIn("z0", "a", membership.StateLeaving)) },
		"entry gone":            func(d *testDirectory) { d.Remove("a", time.Time{}) },
		"complete list":         func(d *testDirectory) { d.Replace([]Entry{entryIn("z0", "a", membership.StateLive)}, time.Time{}) },
		"server new":            func(d *testDirectory) { d.Put(entryIn("z0", "new", membership.StateLive)) },
		"server moves there":    func(d *testDirectory) { d.Put(entryIn("z0", "b", membership.StateLive)) },
		"other zone drained":    func(d *testDirectory) { d.DrainZone("z1") },
		"drained a second time": func(d *testDirectory) { d.DrainZone("z0") },
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDirectory()
			d.Put(entryIn("z0", "a", membership.StateLive))
			chosen := d.Servers("s")[0]
			d.Put(entryIn("z1", "b", membership.StateLive))
			assert.Equal(t, *d.DrainZone("z0"), ZoneChange{Zone: "z0", Drained: true, Servers: 1})
			change(d)
			for _, list := range [][]*Server{d.Servers("s"), d.LastResort("s"), d.ServersInZone("z0")} {
				for _, server := range list {
					assert.Assert(t, server.Zone != "z0", server.ID)
				}
			}
			assert.Assert(t, !d.MayUse(chosen) && closed(chosen.Leaves()) && d.HasBegunToLeave(chosen))
			d.ReturnZone("z0")
			d.Put(entryIn("z0", "a", membership.StateLive))
			assert.Assert(t, d.MayUse(chosen))
			back := d.Servers("s")[0]
			assert.Assert(t, back.ID == "a" && !closed(back.Leaves()))
			assert.Equal(t, len(d.DrainedZones()), map[bool]int{true: 1}[name == "other zone drained"])
		})
	}
}

// Guards against waits for a server that had begun to leave before its zone was drained: they
// have to end, too, and waits must not end when such a server stays after all.
func TestWaitsForLeavingServerEndWhenItsZoneIsDrained(t *testing.T) {
	d := newTestDirectory()
	d.Put(entryIn("z0", "a", membership.StateLeaving))
	chosen := d.LastResort("s")[0]
	d.Put(entryIn("z0", "a", membership.StateLive))
	assert.Assert(t, !closed(chosen.Leaves()))
	d.Put(entryIn("z0", "a", membership.StateLeaving))
	chosen = d.LastResort("s")[0]
	assert.Assert(t, !closed(chosen.Leaves()))
	d.DrainZone("z0")
	assert.Assert(t, closed(chosen.Leaves()) && d.HasBegunToLeave(chosen))
}

// Guards against a server that counts as cold after it has said otherwise, and against a zone
// whose return is forgotten because its servers write new entries. Guards against warm servers that
// lose their requests when the operator takes an evacuation back at once.
func TestServersAreAssumedColdAfterTheReturn(t *testing.T) {
	d := newTestDirectory()
	d.Put(entryIn("z0", "a", membership.StateLive))
	assert.Assert(t, !d.Servers("s")[0].ColdAssumed && d.Servers("s")[0].ReturnedAt.IsZero())
	d.DrainZone("z0")
	d.now = d.now.Add(coldAfter - time.Millisecond)
	d.ReturnZone("z0")
	assert.Assert(t, !d.Servers("s")[0].ColdAssumed && d.Servers("s")[0].ReturnedAt.IsZero())
	d.DrainZone("z0")
	d.now = d.now.Add(coldAfter)
	d.ReturnZone("z0")
	assert.Assert(t, d.Servers("s")[0].ColdAssumed && d.Servers("s")[0].ReturnedAt.Equal(d.now))
	d.Put(entryIn("z0", "a", membership.StateLive))
	assert.Assert(t, !d.Servers("s")[0].ColdAssumed && d.Servers("s")[0].ReturnedAt.Equal(d.now))
}

// Guards against servers that count as cold again because their old entries are read again with a
// complete list: all of them would then get only the rate of cold servers.
func TestEntryReadAgainDoesNotMakeAServerCold(t *testing.T) {
	d := newTestDirectory()
	cold := entryIn("z0", "a", membership.StateLive)
	cold.WarmUp, cold.Revision = 3*time.Second, 7
	d.Put(cold)
	warmAt := d.now.Add(cold.WarmUp)
	d.now = d.now.Add(time.Minute)
	d.Replace([]Entry{cold}, time.Time{})
	assert.Equal(t, d.Servers("s")[0].WarmAt, warmAt)
	cold.Revision = 8 // a new entry: the server is cold again
	d.Replace([]Entry{cold}, time.Time{})
	assert.Equal(t, d.Servers("s")[0].WarmAt, d.now.Add(cold.WarmUp))
}

// Guards against a complete list that leaves a zone drained whose key has gone.
func TestCompleteListReturnsOtherZones(t *testing.T) {
	d := newTestDirectory()
	d.DrainZone("z0")
	d.now = d.now.Add(time.Second)
	d.DrainZone("z1")
	assert.DeepEqual(t, d.ReturnOtherZones([]string{"z1"}), []ZoneChange{{Zone: "z0"}})
	assert.DeepEqual(t, d.DrainedZones(), []DrainedZone{{Zone: "z1", Since: d.now}})
}
