package membership

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// fixture is a list of instances and one backend server s1 in zone z0.
func fixture(instances, zones int) Members {
	m := Members{BackendServers: []BackendServer{
		{ID: "s1", Team: "t", Service: "s", Zone: "z0", Address: "a", State: StateLive},
		{ID: "s2", Team: "t", Service: "s", Replica: 1, Zone: "z1", Address: "b", State: StateLive},
	}}
	for i := range instances {
		zone := fmt.Sprintf("z%d", i%zones)
		m.Instances = append(m.Instances, Instance{ID: fmt.Sprintf("i%d", i), Zone: zone, Address: "a", State: StateLive})
	}
	return m
}

func viewOf(m Members) *View {
	v := NewView("i0", "z0")
	v.Apply(m, 1)
	return v
}

// TestOwnersZones guards against connections to backend servers that cross a
// zone while the zone has instances, and against fewer than three owners.
func TestOwnersZones(t *testing.T) {
	for _, size := range []int{4, 7, 12} {
		v := viewOf(fixture(size, 3))
		owners := v.Owners("s1", start)
		if len(owners) != 3 {
			t.Fatalf("%d owners of %d instances", len(owners), size)
		}
		inZone := (size + 2) / 3
		for rank, o := range owners {
			if (o.Zone == "z0") != (rank < inZone) {
				t.Errorf("size %d rank %d is %s in %s", size, rank+1, o.ID, o.Zone)
			}
			if v.RankOf("s1", o.ID, start) != rank+1 {
				t.Errorf("rank of %s", o.ID)
			}
		}
	}
}

// TestOwnersMoveLittle guards against a ranking that moves the servers of
// instances which did not change when one instance leaves.
func TestOwnersMoveLittle(t *testing.T) {
	m := fixture(9, 1)
	for i := range 300 {
		m.BackendServers = append(m.BackendServers, BackendServer{ID: fmt.Sprintf("x%d", i), Zone: "z0", State: StateLive})
	}
	before := viewOf(m)
	load := make(map[string]int)
	after := viewOf(m)
	m.Instances = m.Instances[1:]
	after.Apply(m, 2)
	for _, server := range m.BackendServers {
		first := before.Owners(server.ID, start)[0].ID
		load[first]++
		if first != "i0" && after.Owners(server.ID, start)[0].ID != first {
			t.Errorf("%s moved from %s", server.ID, first)
		}
	}
	for id, n := range load {
		if n < 15 || n > 60 {
			t.Errorf("%s is first owner of %d of 302", id, n)
		}
	}
}

// TestSuspicionFloor guards against an observer with a broken network that
// excludes a whole zone, and against a suspicion that does not expire.
func TestSuspicionFloor(t *testing.T) {
	v := viewOf(fixture(9, 1))
	failAll := func(at time.Time) {
		for i := 1; i < 9; i++ {
			for range suspicionFailures {
				v.ReportCall(fmt.Sprintf("i%d", i), false, at)
			}
		}
	}
	failAll(start.Add(-suspicionSpan))
	if n := len(v.Instances(start)); n != 9 {
		t.Errorf("%d usable after failures within one pause, want 9", n)
	}
	failAll(start)
	if n := len(v.Instances(start)); n != 5 {
		t.Errorf("%d usable, want 5 of 9", n)
	}
	if n := len(v.Instances(start.Add(suspicionHold))); n != 9 {
		t.Errorf("%d usable after the hold, want 9", n)
	}
	v.ReportCall("i1", false, start.Add(suspicionHold))
	if n := len(v.Instances(start.Add(suspicionHold))); n != 8 {
		t.Errorf("%d usable after another failure, want 8", n)
	}
	v.ReportCall("i1", true, start.Add(suspicionHold))
	if n := len(v.Instances(start.Add(suspicionHold))); n != 9 {
		t.Errorf("%d usable after a success, want 9", n)
	}
}

// TestDrainHolds guards against a drain notice that ends too early, which
// sends requests to a leaving server, or never, which loses a server.
func TestDrainHolds(t *testing.T) {
	v := viewOf(fixture(3, 3))
	replicas := func(now time.Time) int { return len(v.Replicas("t", "s", 0, now)) }
	if !v.Drain("s1", "a", start) || v.Drain("s1", "a", start) {
		t.Error("only the first notice is a change")
	}
	v.Apply(fixture(3, 3), 2)
	v.SeenIncarnation("s1", "a")
	if replicas(start.Add(59*time.Second)) != 1 {
		t.Error("ended by a list that lags or by the same incarnation")
	}
	if replicas(start.Add(drainHold)) != 2 {
		t.Error("did not end after its hold")
	}
	v.Drain("s1", "a", start)
	v.SeenIncarnation("s1", "b")
	if v.Drain("s1", "a", start) || replicas(start) != 2 {
		t.Error("not ended by a newer incarnation")
	}
	v.Drain("s1", "b", start)
	v.SeenIncarnation("s1", "a")
	if replicas(start) != 1 {
		t.Error("ended by a late reply of an older incarnation")
	}
}

// TestApplyOrder guards against a late older list that brings back a server
// which has left.
func TestApplyOrder(t *testing.T) {
	v := viewOf(fixture(3, 3))
	left := fixture(3, 3)
	left.BackendServers[0].State = StateLeaving
	v.Apply(left, 3)
	v.Apply(fixture(3, 3), 2)
	if got := v.Replicas("t", "s", 0, start); len(got) != 1 || got[0].ID != "s2" {
		t.Errorf("replicas %v", got)
	}
	if _, ok := v.Server("s1"); !ok {
		t.Error("a leaving server is still listed")
	}
}

// TestDrainedInstance guards against a leaving instance that stays an owner,
// and against a view without any owner.
func TestDrainedInstance(t *testing.T) {
	v := viewOf(fixture(2, 2))
	if v.RankOf("s2", "i1", start) != 1 {
		t.Error("the zone's only instance is not the first owner")
	}
	v.DrainInstance("i1", "a", start)
	if v.RankOf("s2", "i1", start) != 0 || v.RankOf("s2", "i0", start) != 1 {
		t.Error("a draining instance is owner")
	}
	v.DrainInstance("i0", "a", start)
	if owners := v.Owners("s2", start); len(owners) != 1 || owners[0].ID != "i0" {
		t.Errorf("owners %v, want this instance alone", owners)
	}
	if owned := v.OwnedServers(start); len(owned) != 2 || owned[0].Rank != 1 {
		t.Errorf("owned %v", owned)
	}
}

// TestConcurrentUse guards against data races between readers and changes; it
// has effect with the race detector.
func TestConcurrentUse(t *testing.T) {
	v := viewOf(fixture(9, 3))
	var running sync.WaitGroup
	for g := range 4 {
		running.Go(func() {
			for i := range 200 {
				now := start.Add(time.Duration(i) * time.Second)
				v.ReportCall("i1", i%7 == g, now)
				v.Drain("s1", fmt.Sprint(i%5), now)
				v.SeenIncarnation("s1", fmt.Sprint(i%3))
				v.DrainInstance("i2", fmt.Sprint(i%5), now)
				v.Apply(fixture(9, 3), int64(i/20))
				if len(v.Owners("s1", now)) != 3 {
					t.Error("no three owners")
				}
				v.Replicas("t", "s", 0, now)
			}
		})
	}
	running.Wait()
}
