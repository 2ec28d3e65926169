package zonechoice

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// compare runs the same zones with the feature and without it, and returns the second half
// of both runs.
func compare(seed uint64, rates ...float64) (on, off *world) {
	on, off = newWorld(DefaultCostPerKiB, seed, rates...), newWorld(DefaultCostPerKiB, seed, rates...)
	off.stays = true
	for _, w := range []*world{on, off} {
		w.run(20 * time.Second).reset().run(20 * time.Second)
	}
	return on, off
}

// Guards against requests that wait in a full zone while another has free servers, and
// against a spill that delays the other zone's own callers.
func TestZoneFull(t *testing.T) {
	on, off := compare(1, 0.7, 2)
	assert.Assert(t, on.meanTime(0) < off.meanTime(0)/2, "%v on, %v off", on.meanTime(0), off.meanTime(0))
	assert.Assert(t, on.meanTime(1) < 3*usual/2, "%v", on.meanTime(1))
	assert.Assert(t, on.share(0) > 0.2 && on.share(0) < 0.6, "%v", on.share(0))
	assert.Equal(t, on.share(1), 0.0)
}

// Guards against sending everything out when only some of a zone's servers are slow.
func TestZoneHalfCold(t *testing.T) {
	w := newWorld(DefaultCostPerKiB, 2, 2, 2).run(5 * time.Second)
	w.pools[0].rate /= 2.5 // as many servers, half of them at a fifth of their speed
	w.run(5 * time.Second)
	assert.Assert(t, w.share(0) > 0.1 && w.share(0) < 0.7, "%v", w.share(0))
	w.pools[0].rate *= 2.5
	w.run(8 * time.Second)
	assert.Equal(t, w.share(0), 0.0)
}

// Guards against requests that wait for the ramp when their zone has lost its servers, and
// against a return at once, which cold servers do not stand.
func TestZoneGone(t *testing.T) {
	w := newWorld(DefaultCostPerKiB, 3, 2, 3).run(5 * time.Second)
	w.pools[0].absent = true
	w.run(tick)
	assert.Assert(t, w.share(0) > 0.999, "%v", w.share(0))
	w.run(time.Second)
	w.pools[0].absent = false
	w.run(MinInterval)
	assert.Assert(t, w.share(0) >= 1-2*Step, "%v", w.share(0))
	w.run(6 * time.Second)
	assert.Equal(t, w.share(0), 0.0)
}

// Guards against sending requests to a zone that is gone itself.
func TestOtherZoneGone(t *testing.T) {
	w := newWorld(DefaultCostPerKiB, 4, 0.7, 2).run(10 * time.Second)
	assert.Assert(t, w.share(0) > 0)
	w.pools[1].absent = true
	w.run(tick)
	assert.Equal(t, w.share(0), 0.0)
}

// Guards against one zone that gets all requests of a zone without servers while the
// others are as good.
func TestNoServerInThisZone(t *testing.T) {
	w := newWorld(DefaultCostPerKiB, 5, 2, 2, 2, 2)
	w.pools[3].absent = true
	w.run(10 * time.Second)
	counts := map[string]int{}
	n := w.nodes[len(w.nodes)-1]
	for range 300 {
		zone, leaves := n.chooser.Decide(w.view(n), w.now)
		assert.Assert(t, leaves)
		counts[zone]++
	}
	for zone, count := range counts {
		assert.Assert(t, count > 95 && count < 105, "%s got %d of 300", zone, count)
	}
	assert.Equal(t, len(counts), 3)
}

// Guards against two full zones that send each other their requests, by turns or at once:
// that adds the way between the zones to the queue.
func TestBothZonesFull(t *testing.T) {
	on, off := compare(6, 0.7, 0.8)
	requireNoWorse(t, on, off, 0.001)
	for _, n := range on.nodes {
		left := 0.0
		last := n.shares[len(n.shares)/2:]
		for _, share := range last {
			left += share / float64(len(last))
		}
		assert.Assert(t, left < 0.02, "%v", left) // trials, at intervals that double
	}
}

// Guards against shares that move against the demand: the demand of two busy zones swings
// in turn, with a period of 4 s. What leaves at the peak of one zone is still under way to
// the other when the demand rises there, so single zones may lose a little, but not both.
func TestBothZonesFullByTurns(t *testing.T) {
	for seed := range uint64(4) {
		on, off := newWorld(DefaultCostPerKiB, seed, 0.95, 0.95), newWorld(DefaultCostPerKiB, seed, 0.95, 0.95)
		off.stays = true
		for _, w := range []*world{on, off} {
			for i := range 400 {
				swing := 0.3 * math.Sin(float64(i)/40*2*math.Pi)
				for _, n := range w.nodes {
					n.demand = perInstance * (1 + swing)
					if n.zone == 1 {
						n.demand = perInstance * (1 - swing)
					}
				}
				w.run(100 * time.Millisecond)
			}
		}
		requireNoWorse(t, on, off, 0.05)
		with, without := on.meanTime(0)+on.meanTime(1), off.meanTime(0)+off.meanTime(1)
		assert.Assert(t, with <= without+without/100, "%v with, %v without", with/2, without/2)
	}
}

// requireNoWorse checks that the callers of each zone wait no longer with the feature, but
// for the given share.
func requireNoWorse(t *testing.T, on, off *world, tolerance float64) {
	t.Helper()
	for zone := range on.pools {
		with, without := on.meanTime(zone), off.meanTime(zone)
		assert.Assert(t, float64(with) <= (1+tolerance)*float64(without), "zone %d: %v with, %v without", zone, with, without)
	}
}

// Guards against a cost that has no effect: requests leave a busy zone only if bytes are
// cheap, and a full one unless they are very dear.
func TestCostRaisedAndLowered(t *testing.T) {
	for _, test := range []struct {
		cost   time.Duration
		rate   float64
		leaves bool
	}{
		{0, 1.02, true},
		{DefaultCostPerKiB, 1.02, false},
		{DefaultCostPerKiB, 0.8, true},
		{time.Second, 0.8, false},
	} {
		w := newWorld(test.cost, 7, test.rate, 3).run(20 * time.Second)
		left := slices.ContainsFunc(w.nodes[:instances], func(n *node) bool { return slices.Max(n.shares) > 0 })
		assert.Equal(t, left, test.leaves, "%+v", test)
	}
}

// Guards against instances whose shares move at the same moment: the other zone would be
// full before any of them has seen it.
func TestInstancesDoNotLeaveTogether(t *testing.T) {
	w := newWorld(DefaultCostPerKiB, 8, 2, 2).run(5 * time.Second)
	w.pools[0].rate /= 4
	w.run(2 * time.Second)
	moved := map[int]int{} // by tick
	for _, n := range w.nodes[:instances] {
		for i := range n.shares[1:] {
			if n.shares[i+1] != n.shares[i] {
				moved[i]++
			}
		}
	}
	most := 0
	for _, count := range moved {
		most = max(most, count)
	}
	assert.Assert(t, len(moved) > 10 && most <= instances/2, "%d ticks, at most %d instances", len(moved), most)
}

// Guards against runs of requests that leave or stay, as random draws have.
func TestDrawsAreSpreadEvenly(t *testing.T) {
	s := NewSequence(0.3)
	for range 50 {
		below := 0
		for range 16 {
			if s.Next() < 0.25 {
				below++
			}
		}
		assert.Assert(t, below >= 3 && below <= 5, "%d of 16", below)
	}
}

// Guards against a delay of all requests while the one server of this zone pauses, and
// against a share that leaves long after the pause.
func TestPauseOfThisZone(t *testing.T) {
	c := New(DefaultCostPerKiB, func() float64 { return 0.5 }, func(Change) {})
	now := time.Unix(1000, 0)
	v := &View{
		Service: "s", Usable: true, Usual: usual, Draw: 0.9,
		Here:   Zone{Name: "a", Expected: usual, Paused: true},
		Others: []Zone{{Name: "b", Expected: usual, RoundTrip: usual, RoundTripKnown: true}},
	}
	_, leaves := c.Decide(v, now)
	assert.Assert(t, leaves)
	v.Here.Paused = false
	_, leaves = c.Decide(v, now.Add(time.Second))
	assert.Assert(t, !leaves)
	v.Here.Paused, v.Others[0].Expected = true, pauseTime
	_, leaves = c.Decide(v, now.Add(2*time.Second))
	assert.Assert(t, !leaves, "a zone that takes longer than the pause gets its requests")
}

// Guards against a request that waits behind this instance's own attempts until the share
// has moved, and against one that leaves for a zone that is no better.
func TestOwnAttemptsFillTheServer(t *testing.T) {
	c := New(DefaultCostPerKiB, func() float64 { return 0.5 }, func(Change) {})
	v := &View{
		Service: "s", Usable: true, Usual: usual, Draw: 0.9, Bytes: 512,
		Here:   Zone{Name: "a", Expected: 3 * usual, Queued: true},
		Others: []Zone{{Name: "b", Expected: usual, RoundTripKnown: true}},
	}
	for _, test := range []struct {
		there  Zone
		leaves bool
	}{
		{Zone{Expected: usual}, true},
		{Zone{Expected: usual, Queued: true}, false},
		{Zone{Expected: usual, Full: true}, false},
		{Zone{Expected: 3 * usual}, false},
	} {
		test.there.Name, test.there.RoundTripKnown = "b", true
		v.Others[0] = test.there
		_, leaves := c.Decide(v, time.Unix(1000, 0))
		assert.Equal(t, leaves, test.leaves, "%+v", test.there)
	}
}

// Guards against a pause between attempts to leave after one that has relieved this zone:
// only attempts in vain are to become rarer.
func TestReliefIsNoAttemptInVain(t *testing.T) {
	c := New(0, func() float64 { return 0.5 }, func(Change) {})
	now := time.Unix(1000, 0)
	v := &View{Service: "s", Usable: true, Usual: usual, Others: []Zone{{Name: "b", Expected: usual, RoundTripKnown: true}}}
	await := func(here time.Duration, left bool) {
		t.Helper()
		v.Here = Zone{Name: "a", Expected: here}
		for range 15 { // 1.5 s
			now = now.Add(100 * time.Millisecond)
			c.Decide(v, now)
			if share, _ := c.Share("s"); share > 0 == left {
				return
			}
		}
		t.Fatalf("share does not reach the state: leaves %v", left)
	}
	for range 4 {
		await(4*usual, true)
		await(usual, false)
	}
}

// Guards against requests sent to a zone whose relays deliver no parts: the servers there
// are observed by the relay, not by this instance.
func TestLostPartsOfAnotherZone(t *testing.T) {
	w := newWorld(DefaultCostPerKiB, 9, 0.7, 2).run(10 * time.Second)
	assert.Assert(t, w.share(0) > 0)
	for range 100 {
		for _, n := range w.nodes {
			n.chooser.RecordPart("s", "z1", false, w.now)
		}
		w.run(50 * time.Millisecond)
	}
	assert.Equal(t, w.share(0), 0.0)
}

// Guards against a missing log line, and against one for each service or each move.
func TestChangesAreReportedOnce(t *testing.T) {
	w := newWorld(DefaultCostPerKiB, 10, 2, 2).run(2 * time.Second)
	w.nodes = slices.Delete(w.nodes, 1, instances) // one instance in the zone
	w.nodes[0].demand = instances
	w.pools[0].absent = true
	w.run(time.Second)
	w.pools[0].absent = false
	w.run(7 * time.Second)
	assert.Equal(t, len(w.changes), 2)
	assert.Assert(t, w.changes[0].Leaves && w.changes[0].Zone == "z1")
	assert.Assert(t, !w.changes[1].Leaves && w.changes[1].Lasted > time.Second)
}

// Guards against a share out of range, and against a jump that the other zone's callers
// feel.
func TestShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := func() float64 { return rapid.Float64Range(0, 1).Draw(t, "random") }
		c := New(time.Duration(rapid.IntRange(0, 50).Draw(t, "cost in ms"))*time.Millisecond, random, func(Change) {})
		zone := func(name string) Zone {
			return Zone{
				Name:           name,
				Expected:       time.Duration(rapid.IntRange(1, 20).Draw(t, name)) * usual / 2,
				RoundTripKnown: rapid.Bool().Draw(t, "known"),
				Paused:         rapid.IntRange(0, 9).Draw(t, "paused") == 0,
				Full:           rapid.IntRange(0, 9).Draw(t, "full") == 0,
			}
		}
		now, movedAt, lastTarget := time.Unix(1000, 0), time.Time{}, ""
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "passed")) * time.Millisecond)
			v := &View{Service: "s", Usable: rapid.IntRange(0, 19).Draw(t, "usable") > 0, Usual: usual, Here: zone("a"), Draw: c.Draw("r")}
			for _, name := range []string{"b", "c"}[:rapid.IntRange(0, 2).Draw(t, "others")] {
				v.Others = append(v.Others, zone(name))
			}
			before, _ := c.Share("s")
			target, leaves := c.Decide(v, now)
			after, _ := c.Share("s")
			assert.Assert(t, after >= 0 && after <= 1)
			if leaves {
				assert.Assert(t, slices.ContainsFunc(v.Others, func(z Zone) bool { return z.Name == target }))
			}
			if !v.Usable || len(v.Others) == 0 {
				_, lastTarget = c.Share("s")
				assert.Equal(t, leaves, len(v.Others) > 0)
				movedAt = now
				continue
			}
			if target != lastTarget && before > 0 && !slices.ContainsFunc(v.Others, func(z Zone) bool { return z.Name == lastTarget }) {
				before = 0 // the zone that the share left for is gone
			}
			lastTarget = target
			if after != before {
				assert.Assert(t, math.Abs(after-before) <= Step+1e-9, "from %v to %v", before, after)
				assert.Assert(t, now.Sub(movedAt) >= MinInterval)
				movedAt = now
			}
		}
	})
}

// Guards against any request that leaves while this zone is at its usual response time,
// however fast another zone is.
func TestNothingLeavesAtTheUsualResponseTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(0, func() float64 { return 0.5 }, func(Change) {})
		now := time.Unix(1000, 0)
		for range 100 {
			now = now.Add(50 * time.Millisecond)
			here := time.Duration(rapid.IntRange(1, 125).Draw(t, "here")) * usual / 100
			there := time.Duration(rapid.IntRange(1, 300).Draw(t, "there")) * usual / 100
			_, leaves := c.Decide(&View{
				Service: "s", Usable: true, Usual: usual, Draw: c.Draw("r"), Here: Zone{Name: "a", Expected: here},
				Others: []Zone{{Name: "b", Expected: there, RoundTripKnown: true}},
			}, now)
			assert.Assert(t, !leaves)
		}
	})
}
