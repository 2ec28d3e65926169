package forward

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// drainZone drains a zone after d.
func (tb *testbed) drainZone(zone string, d time.Duration) {
	time.AfterFunc(d, func() { tb.directory.DrainZone(zone) })
}

// reached reports whether a counted request has arrived at a server whose id has the suffix.
func (tb *testbed) reached(suffix string) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return slices.ContainsFunc(tb.arrivals, func(arrival string) bool { return strings.HasSuffix(arrival, suffix) })
}

// Guards against first attempts at servers of a drained zone.
func TestFirstAttemptAvoidsDrainedZone(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		single, sharded := tb.singleRoute(false), tb.shardedRoute(5, 1)
		tb.directory.DrainZone(localZone)
		for _, route := range []*routing.Route{single, sharded} {
			answer, took := tb.ask(background, route)
			assert.Assert(t, answer.Refusal == nil)
			assert.Equal(t, took, work)
		}
		assert.Assert(t, !tb.reached(".a"))
		tb.directory.ReturnZone(localZone)
		tb.ask(background, single)
		assert.Assert(t, tb.reached(".a"))
	})
}

// Guards against hedges at servers of a zone that was drained after the request arrived.
func TestHedgeAvoidsDrainedZone(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(true)
		tb.addServer("one", "one.c", "third")
		tb.warmUp(route)
		tb.setBehaviour("one.a", tb.counted(silent))
		tb.drainZone(remoteZone, time.Millisecond)
		answer, _ := tb.ask(background, route)
		assert.Assert(t, answer.Refusal == nil)
		assert.Equal(t, answer.Trace.Hedges, 1)
		assert.Equal(t, answer.Trace.Attempts, 2) // none is chosen there and then not sent
		assert.DeepEqual(t, tb.arrivals, []string{"one one.a", "one one.c"})
	})
}

// Guards against retries at servers of a zone that was drained after the request arrived.
func TestRetryAvoidsDrainedZone(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(true)
		tb.addServer("one", "one.c", "third")
		tb.setBehaviour("one.a", tb.counted(fails))
		tb.drainZone(remoteZone, time.Millisecond)
		answer, _ := tb.ask(background, route)
		assert.Assert(t, answer.Refusal == nil)
		assert.DeepEqual(t, tb.arrivals, []string{"one one.a", "one one.c"})
	})
}

// Guards against a request that waits for a connection to a server of a drained zone, or
// reaches it later: it has to go to another zone at once, and the attempt that was not sent
// counts neither for the limit on attempts nor for the budget.
func TestWaitForConnectionEndsWhenZoneIsDrained(t *testing.T) {
	for name, repeatable := range map[string]bool{"safe": true, "unsafe": false} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				route := tb.singleRoute(repeatable)
				route.TargetLatency = 2 * time.Second // hedges come after the zone is drained
				route.MaxAttempts = 1
				before := tb.budget.Remaining("one", time.Now())
				tb.occupy("one.a", 4*time.Second)
				tb.drainZone(localZone, 100*time.Millisecond)
				answer, took := tb.ask(background, route)
				assert.Assert(t, answer.Refusal == nil)
				assert.Equal(t, took, 100*time.Millisecond+work)
				assert.Assert(t, tb.budget.Remaining("one", time.Now()) >= before)
				time.Sleep(5 * time.Second)
				assert.Assert(t, !tb.reached(".a"))
			})
		})
	}
}

// Guards against a request that is held back, or sent, after it has waited for a connection to a
// server that leaves and whose zone is drained: no server is left, so it is refused at once.
func TestWaitAtLeavingServerEndsWhenZoneIsDrained(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		tb.addServer("lone", "lone.a", localZone)
		tb.drain("lone", "lone.a", localZone, 0)
		time.Sleep(time.Millisecond)
		route := &routing.Route{Name: "lone", TargetLatency: 500 * time.Millisecond, Timeout: 5 * time.Second, MaxAttempts: 2,
			WeightedServices: []routing.WeightedService{{Service: "lone", Weight: 1}}}
		tb.occupy("lone.a", time.Second)
		tb.drainZone(localZone, 100*time.Millisecond)
		answer, took := tb.ask(background, route)
		assert.Assert(t, answer.Refusal != nil && answer.Refusal.NotRun)
		assert.Equal(t, took, 100*time.Millisecond)
		assert.Equal(t, tb.arrivalCount(), 0)
	})
}

// Guards against sending to a server of a drained zone when a connection is free before the end
// of the wait is noticed.
func TestNothingIsSentToDrainedZoneAfterWaiting(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(true)
		var unnoticed []bool
		tb.setBehaviour("one.a", tb.counted(answersAfter(work)))
		tb.engine.client = clientFunc(func(ctx context.Context, call Call) (*Reply, error) {
			if call.Server.Zone == localZone {
				tb.directory.DrainZone(localZone)
				call.Leaves = nil
				unnoticed = append(unnoticed, true)
			}
			return tb.Call(ctx, call)
		})
		answer, _ := tb.ask(background, route)
		assert.Assert(t, answer.Refusal == nil)
		assert.Equal(t, len(unnoticed), 1)
		assert.DeepEqual(t, tb.arrivals, []string{"one one.b"})
	})
}

// clientFunc implements BackendClient.
type clientFunc func(ctx context.Context, call Call) (*Reply, error)

func (f clientFunc) Call(ctx context.Context, call Call) (*Reply, error) { return f(ctx, call) }

// Guards against an attempt that waits for the rate limit of its server and is sent although
// the zone has been drained meanwhile.
func TestReservationEndsWhenZoneIsDrained(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(true)
		for _, id := range []string{"one.a", "one.b"} {
			tb.setBehaviour(id, tb.counted((&limitedServer{limit: 4}).answer))
		}
		for range 4 {
			tb.ask(background, route)
		}
		// The rate of both servers is used up; the request waits for the local one.
		tb.setBehaviour("one.b", tb.counted(answersAfter(work)))
		tb.mu.Lock()
		tb.arrivals = nil
		tb.mu.Unlock()
		tb.drainZone(localZone, 10*time.Millisecond)
		answer, _ := tb.ask(background, route)
		assert.Assert(t, answer.Refusal == nil)
		assert.Equal(t, answer.Trace.Events[0].Event, "waits for the rate limit")
		assert.Equal(t, answer.Trace.Events[0].Server, "one.a")
		assert.DeepEqual(t, tb.arrivals, []string{"one one.b"})
	})
}

// Guards against a relay that asks servers of a zone that only it knows to be drained: it has
// its own view.
func TestRelayAvoidsZoneThatOnlyItKnowsToBeDrained(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(5)
		relay := tb.addRelay()
		views := directory.New(3*time.Second, time.Now)
		relay.engine.directory = views
		for _, service := range route.Shards {
			tb.addServer(service, service+".c", "third")
			for suffix, zone := range map[string]string{".b": remoteZone, ".c": "third"} {
				views.Put(directory.Entry{Capacity: 2, Server: membership.BackendServer{
					ID: service + suffix, Service: service, Zone: zone, Address: "10.0.0.1:1", State: membership.StateLive}})
			}
		}
		views.DrainZone(remoteZone)
		answer, _ := tb.ask(background, route)
		assert.Assert(t, answer.Refusal == nil)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Equal(t, relay.calls.Load(), int32(1))
		assert.Assert(t, tb.reached(".c") && !tb.reached(".b"))
	})
}

// Guards against holding back or sending a request whose shards have servers only in drained
// zones: it is refused at once as not run, or answered without them where the route allows it.
func TestShardsOnlyInDrainedZone(t *testing.T) {
	for name, test := range map[string]struct {
		share  float64
		served bool
	}{
		"answered without them": {share: 0.8, served: true},
		"refused":               {share: 0.81},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				route := tb.shardedRoute(10, test.share)
				for _, service := range route.Shards[:2] {
					tb.drain(service, service+".b", remoteZone, 0)
				}
				time.Sleep(10 * time.Second)
				tb.directory.DrainZone(localZone)
				answer, took := tb.ask(background, route)
				assert.Equal(t, answer.Refusal == nil, test.served)
				if test.served {
					assert.Equal(t, answer.Merged.Missing, 2)
					return
				}
				assert.Assert(t, answer.Refusal.NotRun && answer.Refusal.RetryAfter > 0)
				assert.Equal(t, answer.Refusal.Reason, NoServer)
				assert.Equal(t, took, time.Duration(0))
				assert.Equal(t, tb.arrivalCount(), 0)
			})
		})
	}
}

// Guards against requests that are held back, or sent, while all zones are drained.
func TestAllZonesDrained(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		routes := []*routing.Route{tb.singleRoute(false), tb.shardedRoute(5, 0.5)}
		tb.directory.DrainZone(localZone)
		tb.directory.DrainZone(remoteZone)
		for _, route := range routes {
			answer, took := tb.ask(context.Background(), route)
			assert.Equal(t, answer.Refusal.Reason, NoServer)
			assert.Assert(t, answer.Refusal.NotRun)
			assert.Equal(t, took, time.Duration(0))
		}
		assert.Equal(t, tb.arrivalCount(), 0)
	})
}

// Guards against a zone that gets all requests back at once although its servers are cold, and
// against shards without another server that wait for the end of the ramp.
func TestReturnedZoneGetsRequestsAlongARamp(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		const warmUp = 3 * time.Second
		tb.engine.tracker.WarmUps = func(string) replicas.WarmUp { return replicas.WarmUp{Time: warmUp} }
		route := tb.singleRoute(true)
		tb.addServer("lone", "lone.a", localZone)
		tb.directory.DrainZone(localZone)
		time.Sleep(time.Second)
		tb.directory.ReturnZone(localZone)
		tb.ask(background, route)
		assert.DeepEqual(t, tb.arrivals, []string{"one one.b"})
		lone := &routing.Route{Name: "lone", TargetLatency: 500 * time.Millisecond, Timeout: 5 * time.Second, MaxAttempts: 2,
			WeightedServices: []routing.WeightedService{{Service: "lone", Weight: 1}}}
		answer, took := tb.ask(background, lone)
		assert.Assert(t, answer.Refusal == nil)
		assert.Equal(t, took, work)
		time.Sleep(warmUp)
		tb.ask(background, route)
		assert.Equal(t, tb.arrivals[2], "one one.a")
	})
}

// Guards against a request that waits for a busy server of another zone while one of the zone
// that has just returned is idle.
func TestReturnedZoneTakesWhatOthersCannot(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		tb.engine.tracker.WarmUps = func(string) replicas.WarmUp { return replicas.WarmUp{Time: time.Hour} }
		route := tb.singleRoute(false)
		tb.directory.DrainZone(localZone)
		tb.setBehaviour("one.b", tb.counted(silent))
		go tb.ask(background, route)
		time.Sleep(time.Second) // the server of the other zone is stalled
		tb.directory.ReturnZone(localZone)
		answer, took := tb.ask(background, route)
		assert.Assert(t, answer.Refusal == nil)
		assert.Equal(t, took, work)
		assert.Assert(t, tb.reached(".a"))
	})
}

// ServerDown implements BackendClient.
func (clientFunc) ServerDown(*directory.Server) (down bool, later func() bool) { return false, nil }
