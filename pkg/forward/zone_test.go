package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/zonechoice"
)

type fixedTrip time.Duration

func (f fixedTrip) RoundTrip(string) (time.Duration, bool) { return time.Duration(f), true }

// decideZones lets the expected response times decide about zones, in place of the factor.
func (tb *testbed) decideZones(engines ...*Engine) {
	for _, e := range engines {
		e.tracker.DecideZonesBy(zonechoice.New(zonechoice.DefaultCostPerKiB, func() float64 { return 0.5 }, func(zonechoice.Change) {}), fixedTrip(2*oneWay))
	}
}

// askFor asks for d and returns the requests by the number of parts that left the zone.
func (tb *testbed) askFor(d time.Duration, route *routing.Route) map[int]int {
	byRelayed := map[int]int{}
	for end := time.Now().Add(d); time.Now().Before(end); {
		answer, _ := tb.ask(background, route)
		byRelayed[answer.Trace.Relayed]++
	}
	return byRelayed
}

// Guards against shards that leave the zone one by one: those of a request leave together,
// in one message, and the requests that stay send none.
func TestShardsLeaveAFullZoneInOneMessage(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(10, 0.5)
		relay := tb.addRelay()
		tb.decideZones(tb.engine, relay.engine)
		tb.warmUp(route)
		for _, service := range route.Shards[:4] {
			tb.setBehaviour(service+".a", tb.counted(answersAfter(32*time.Millisecond))) // too soon for a hedge
		}
		tb.askFor(10*time.Second, route)
		relay.calls.Store(0)
		byRelayed := tb.askFor(20*time.Second, route)
		together, stayed := byRelayed[4], byRelayed[0]
		assert.Assert(t, stayed > together/3 && together > stayed/10, "%v", byRelayed)
		assert.Assert(t, int(relay.calls.Load()) < together+together/10, "%d messages, %v", relay.calls.Load(), byRelayed)
	})
}

// Guards against requests that leave for a zone that is as busy: its servers are seen only
// through relays, whose merged parts tell no time.
func TestBusyZoneIsSeenThroughRelays(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(10, 0.5)
		relay := tb.addRelay()
		tb.decideZones(tb.engine, relay.engine)
		tb.warmUp(route)
		for _, service := range route.Shards[:4] {
			tb.setBehaviour(service+".a", answersAfter(32*time.Millisecond))
			tb.setBehaviour(service+".b", answersAfter(32*time.Millisecond))
		}
		tb.askFor(10*time.Second, route)
		byRelayed := tb.askFor(20*time.Second, route)
		all := 0
		for _, count := range byRelayed {
			all += count
		}
		assert.Assert(t, byRelayed[0] > all*95/100, "%v", byRelayed)
	})
}

// Guards against requests that keep leaving for a zone that does not deliver their parts in
// time: its servers are late, or its relay has no processor time.
func TestLatePartsOfAnotherZoneCount(t *testing.T) {
	for _, stopsWork := range []bool{false, true} {
		simulate(t, func(t *testing.T, tb *testbed) {
			route := tb.shardedRoute(10, 0.5)
			relay := tb.addRelay()
			relay.stopsWork = stopsWork
			tb.decideZones(tb.engine, relay.engine)
			tb.warmUp(route)
			for _, service := range route.Shards[:4] {
				tb.setBehaviour(service+".a", answersAfter(32*time.Millisecond))
				tb.setBehaviour(service+".b", answersAfter(route.TargetLatency))
			}
			tb.askFor(20*time.Second, route)
			byRelayed := tb.askFor(10*time.Second, route)
			all := 0
			for _, count := range byRelayed {
				all += count
			}
			assert.Assert(t, byRelayed[0] > all*8/10, "stops work: %v, %v", stopsWork, byRelayed)
		})
	}
}

// Guards against requests that a relay sends on: the zone of the sender has decided, and two
// full zones would pass requests to and fro.
func TestRelayOfAFullZoneSendsNothingOn(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(5, 0.5)
		tb.decideZones(tb.engine)
		tb.warmUp(route)
		for _, service := range route.Shards {
			tb.setBehaviour(service+".a", answersAfter(4*work))
		}
		tb.askFor(10*time.Second, route)
		for _, sameZone := range []bool{false, true} {
			before := tb.arrivalCount()
			for range 20 {
				call := &PartsCall{
					Request: &Request{ID: "id", Arrived: time.Now()}, Route: route.Name, Services: route.Shards, MaxAttempts: 1,
					Target: route.TargetLatency, Cutoff: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second), SameZone: sameZone,
				}
				tb.engine.Gather(background, call, func(*PartsResult) {})
			}
			assert.Equal(t, tb.arrivalCount() > before, sameZone, "same zone: %v", sameZone) // the servers of the other zone count arrivals
		}
	})
}

// Guards against a hedge for each reply from another zone: the way there is no delay of the
// server.
func TestRoundTripDelaysTheHedge(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(true)
		tb.addServer("one", "one.c", remoteZone)
		tb.decideZones(tb.engine)
		tb.warmUp(route)
		tb.directory.Remove("one.a", time.Time{})
		time.Sleep(10 * time.Second)
		for _, id := range []string{"one.b", "one.c"} {
			tb.setBehaviour(id, tb.counted(answersAfter(work+2*oneWay+work)))
		}
		before := tb.arrivalCount()
		answer, _ := tb.ask(background, route)
		assert.Equal(t, answer.Reply.Status, 200)
		assert.Equal(t, tb.arrivalCount()-before, 1)
	})
}
