package membership

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

var testStart = time.Unix(1_000_000, 0)

// testMembers returns a list of instances in the given number of zones and of the
// two replicas of a shard: s1 in zone z0 and s2 in zone z1.
func testMembers(instances, zones int) Members {
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

// TestOwnersZones guards against owners in another zone than the backend server
// while its own zone has instances left, and against fewer than three owners.
func TestOwnersZones(t *testing.T) {
	for _, size := range []int{4, 7, 12} {
		v := viewOf(testMembers(size, 3))
		owners := v.Owners("s1", testStart)
		if len(owners) != 3 {
			t.Fatalf("%d owners with %d instances, want 3", len(owners), size)
		}
		inZone := (size + 2) / 3
		for rank, o := range owners {
			if (o.Zone == "z0") != (rank < inZone) {
				t.Errorf("%d instances: the owner of rank %d is %s in zone %s", size, rank+1, o.ID, o.Zone)
			}
			if v.RankOf("s1", o.ID, testStart) != rank+1 {
				t.Errorf("RankOf(s1, %s) disagrees with the order of Owners", o.ID)
			}
		}
	}
}

// TestOwnersStayWhenInstanceLeaves guards against a ranking that moves backend
// servers between the remaining instances when one instance leaves.
func TestOwnersStayWhenInstanceLeaves(t *testing.T) {
	m := testMembers(9, 1)
	for i := range 300 {
		m.BackendServers = append(m.BackendServers, BackendServer{ID: fmt.Sprintf("x%d", i), Zone: "z0", State: StateLive})
	}
	before := viewOf(m)
	firstOwned := make(map[string]int)
	after := viewOf(m)
	m.Instances = m.Instances[1:]
	after.Apply(m, 2)
	for _, server := range m.BackendServers {
		first := before.Owners(server.ID, testStart)[0].ID
		firstOwned[first]++
		if first != "i0" && after.Owners(server.ID, testStart)[0].ID != first {
			t.Errorf("the first owner of %s is no longer %s", server.ID, first)
		}
	}
	for id, n := range firstOwned {
		if n < 15 || n > 60 {
			t.Errorf("%s is the first owner of %d of 302 backend servers, want 15 to 60", id, n)
		}
	}
}

// TestSuspicionLimitPerZone guards against an instance with a broken network that
// excludes a whole zone, and against a suspicion that does not expire.
func TestSuspicionLimitPerZone(t *testing.T) {
	v := viewOf(testMembers(9, 1))
	failAll := func(at time.Time) {
		for i := 1; i < 9; i++ {
			for range suspicionFailures {
				v.RecordCall(fmt.Sprintf("i%d", i), false, at)
			}
		}
	}
	failAll(testStart.Add(-minFailureSpan))
	if n := len(v.UsableInstances(testStart)); n != 9 {
		t.Errorf("%d instances usable after failures within a shorter time than minFailureSpan, want 9", n)
	}
	failAll(testStart)
	if n := len(v.UsableInstances(testStart)); n != 5 {
		t.Errorf("%d instances usable, want 5 of 9", n)
	}
	if n := len(v.UsableInstances(testStart.Add(initialSuspicion))); n != 9 {
		t.Errorf("%d instances usable after the suspicion, want 9", n)
	}
	v.RecordCall("i1", false, testStart.Add(initialSuspicion))
	if n := len(v.UsableInstances(testStart.Add(initialSuspicion))); n != 8 {
		t.Errorf("%d instances usable after another failure, want 8", n)
	}
	v.RecordCall("i1", true, testStart.Add(initialSuspicion))
	if n := len(v.UsableInstances(testStart.Add(initialSuspicion))); n != 9 {
		t.Errorf("%d instances usable after a success, want 9", n)
	}
}

// TestDrainNoticeDuration guards against a drain notice that ends too early, so
// that requests go to a leaving server, or never, so that a server is lost.
func TestDrainNoticeDuration(t *testing.T) {
	v := viewOf(testMembers(3, 3))
	replicas := func(now time.Time) int { return len(v.Replicas("t", "s", 0, now)) }
	if !v.RecordServerDrain("s1", "a", testStart) || v.RecordServerDrain("s1", "a", testStart) {
		t.Error("RecordServerDrain does not report a change for the first notice only")
	}
	v.Apply(testMembers(3, 3), 2)
	v.RecordServerReply("s1", "a")
	if replicas(testStart.Add(59*time.Second)) != 1 {
		t.Error("the notice was ended by a list that lags or by a reply of the same incarnation")
	}
	if replicas(testStart.Add(drainNoticeDuration)) != 2 {
		t.Error("the notice did not end after drainNoticeDuration")
	}
	v.RecordServerDrain("s1", "a", testStart)
	v.RecordServerReply("s1", "b")
	if v.RecordServerDrain("s1", "a", testStart) || replicas(testStart) != 2 {
		t.Error("the notice was not ended by a newer incarnation")
	}
	v.RecordServerDrain("s1", "b", testStart)
	v.RecordServerReply("s1", "a")
	if replicas(testStart) != 1 {
		t.Error("the notice was ended by a late reply of an older incarnation")
	}
}

// TestApplyIgnoresOlderList guards against a late older list that brings back a
// backend server which has left.
func TestApplyIgnoresOlderList(t *testing.T) {
	v := viewOf(testMembers(3, 3))
	left := testMembers(3, 3)
	left.BackendServers[0].State = StateLeaving
	v.Apply(left, 3)
	v.Apply(testMembers(3, 3), 2)
	if got := v.Replicas("t", "s", 0, testStart); len(got) != 1 || got[0].ID != "s2" {
		t.Errorf("replicas %v, want s2 alone", got)
	}
	if _, ok := v.Server("s1"); !ok {
		t.Error("Server does not return a leaving backend server")
	}
}

// TestDrainedInstance guards against a draining instance that stays an owner, and
// against backend servers without an owner when all instances drain.
func TestDrainedInstance(t *testing.T) {
	v := viewOf(testMembers(2, 2))
	if v.RankOf("s2", "i1", testStart) != 1 {
		t.Error("the only instance of the zone is not the first owner")
	}
	v.RecordInstanceDrain("i1", "a", testStart)
	if v.RankOf("s2", "i1", testStart) != 0 || v.RankOf("s2", "i0", testStart) != 1 {
		t.Error("the draining instance is still an owner")
	}
	v.RecordInstanceDrain("i0", "a", testStart)
	if owners := v.Owners("s2", testStart); len(owners) != 1 || owners[0].ID != "i0" {
		t.Errorf("owners %v, want this instance alone", owners)
	}
	if owned := v.OwnedServers(testStart); len(owned) != 2 || owned[0].Rank != 1 {
		t.Errorf("owned %v, want both backend servers with rank 1", owned)
	}
}

// TestConcurrentUse guards against data races between readers and writers. Only
// the race detector can find them.
func TestConcurrentUse(t *testing.T) {
	v := viewOf(testMembers(9, 3))
	var workers sync.WaitGroup
	for g := range 4 {
		workers.Go(func() {
			for i := range 200 {
				now := testStart.Add(time.Duration(i) * time.Second)
				v.RecordCall("i1", i%7 == g, now)
				v.RecordServerDrain("s1", fmt.Sprint(i%5), now)
				v.RecordServerReply("s1", fmt.Sprint(i%3))
				v.RecordInstanceDrain("i2", fmt.Sprint(i%5), now)
				v.Apply(testMembers(9, 3), int64(i/20))
				if len(v.Owners("s1", now)) != 3 {
					t.Error("the backend server does not have three owners")
				}
				v.Replicas("t", "s", 0, now)
			}
		})
	}
	workers.Wait()
}
