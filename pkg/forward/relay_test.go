package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const oneWay = 5 * time.Millisecond // delay of a message between zones

// testRelay is another instance: an engine in the remote zone with the same servers.
type testRelay struct {
	engine             *Engine
	calls              atomic.Int32
	failed             int
	silent             bool // never accepts a call
	diesAfterAccepting bool // is killed after it has accepted a call
	stopsWork          bool // gets no processor time after it has accepted a call
	refused            error
	stronger           bool // has much more processor time than the sender
}

// addRelay adds an instance in the remote zone.
func (tb *testbed) addRelay() *testRelay {
	relay := &testRelay{engine: tb.newEngine(remoteZone, noRelays{})}
	tb.relays[remoteZone] = relay
	return relay
}

type noRelays struct{}

func (noRelays) Pick(string) Relay { return nil }
func (noRelays) Stronger() Relay   { return nil }

func (relay *testRelay) ID() string     { return "peer" }
func (relay *testRelay) Failed()        { relay.failed++ }
func (relay *testRelay) Stronger() bool { return relay.stronger }
func (relay *testRelay) Answers() bool  { return relay.failed == 0 }

func (relay *testRelay) Gather(ctx context.Context, call *PartsCall, accepted func(), receive func(*PartsResult)) error {
	relay.calls.Add(1)
	time.Sleep(oneWay)
	switch {
	case relay.refused != nil:
		return relay.refused
	case relay.silent:
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(oneWay)
	accepted()
	switch {
	case relay.diesAfterAccepting:
		return errors.New("connection lost")
	case relay.stopsWork:
		<-ctx.Done()
		return ctx.Err()
	}
	request := *call.Request
	request.Arrived = time.Now()
	received := *call
	received.Request = &request
	if !relay.engine.Gather(ctx, &received, receive) {
		return ctx.Err()
	}
	return nil
}

// remoteShardedRoute returns a sharded route whose servers are all in the remote zone.
func (tb *testbed) remoteShardedRoute(n int) *routing.Route {
	route := tb.shardedRoute(n, 0.89)
	for _, service := range route.Shards {
		tb.directory.Remove(service+".a", time.Time{})
	}
	time.Sleep(10 * time.Second)
	return route
}

// Guards against a message between zones for each shard, from an instance in a zone without
// backend servers.
func TestShardsOfAnotherZoneAreAskedThroughOneInstance(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(20)
		relay := tb.addRelay()
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Equal(t, len(answer.Merged.Proofs), 20)
		assert.Equal(t, len(answer.Merged.Body), 10*16)
		assert.Equal(t, took, 2*oneWay+work)
		assert.Equal(t, relay.calls.Load(), int32(1))
		assert.Equal(t, tb.arrivalCount(), 20)
	})
}

// Guards against the parts of all shards of a relay waiting for one slow shard, and against
// records that count twice.
func TestSlowShardDoesNotHoldUpTheOthers(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(20)
		route.TopK = 40
		tb.addRelay()
		tb.setBehaviour("s03.b", tb.counted(answersAfter(100*time.Millisecond)))
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Equal(t, len(answer.Merged.Body), 20*16)
		assert.Assert(t, took < route.TargetLatency, "took %v", took)
	})
}

// Guards against requests that fail because a relay's parts arrive after the target: late
// parts still count.
func TestLatePartsOfARelayStillCount(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(20)
		tb.addRelay()
		for _, id := range []string{"s01.b", "s02.b", "s03.b"} {
			tb.setBehaviour(id, tb.counted(answersAfter(300*time.Millisecond)))
		}
		answer, took := tb.ask(background, route)
		assert.Assert(t, answer.Merged != nil)
		assert.Assert(t, took < 400*time.Millisecond, "took %v", took)
	})
}

// Guards against waiting for a relay that hangs or is unreachable: the servers have to be
// asked directly, early enough for the target.
func TestSilentRelayIsGivenUp(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(10)
		relay := tb.addRelay()
		relay.silent = true
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Assert(t, took < route.TargetLatency, "took %v", took)
		assert.Equal(t, relay.failed, 1)
	})
}

// Guards against parts that are lost or count twice when a relay is killed during a call.
func TestKilledRelayIsReplaced(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(10)
		tb.addRelay().diesAfterAccepting = true
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Equal(t, len(answer.Merged.Proofs), 10)
		assert.Assert(t, took < route.TargetLatency, "took %v", took)
	})
}

// Guards against asking more servers for a shard than the route allows when the connection
// to a relay breaks: the relay may have asked one, and two after the hedge delay.
func TestBrokenRelayMayHaveAskedServers(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(10)
		tb.addServer("s03", "s03.c", remoteZone)
		tb.addRelay().refused = errors.New("connection lost")
		for _, id := range []string{"s03.b", "s03.c"} {
			tb.setBehaviour(id, tb.counted(refuses))
		}
		answer, _ := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 1)
		// The relay may have made one of the two attempts, so one is left.
		assert.Equal(t, tb.arrivalCount(), 10)
	})
}

// Guards against charging the budget for attempts through a relay that was never reached.
func TestUnreachableRelayCostsNoBudget(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(10)
		tb.addRelay().refused = &CallError{Detail: "connection refused"}
		left := tb.budget.Remaining("s03", time.Now())
		answer, _ := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Assert(t, tb.budget.Remaining("s03", time.Now()) >= left)
	})
}

// Guards against instances that relay to each other: an instance that gets hedges from a
// relay has to ask the servers itself.
func TestRelayAsksServersItself(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(5, 0.89)
		relay := tb.addRelay()
		call := &PartsCall{
			Request:         &Request{ID: "id", Arrived: time.Now()},
			Services:        route.Shards,
			Top:             10,
			MaxAttempts:     1,
			Target:          route.TargetLatency,
			Cutoff:          time.Now().Add(100 * time.Millisecond),
			Deadline:        time.Now().Add(time.Second),
			ChargedBySender: true,
		}
		for _, service := range route.Shards {
			tb.directory.Remove(service+".a", time.Time{})
		}
		var parts []Part
		assert.Assert(t, tb.engine.Gather(background, call, func(r *PartsResult) { parts = append(parts, r.Parts...) }))
		assert.Equal(t, len(parts), 5)
		assert.Equal(t, relay.calls.Load(), int32(0))
	})
}

// Guards against starting a call that the sender gave up before the relay accepted it.
func TestGivenUpCallStartsNothing(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(5, 0.89)
		ctx, cancel := context.WithCancel(background)
		cancel()
		call := &PartsCall{Request: &Request{Arrived: time.Now()}, Services: route.Shards, MaxAttempts: 2, Target: route.TargetLatency, Deadline: time.Now().Add(time.Second)}
		assert.Assert(t, !tb.engine.Gather(ctx, call, func(*PartsResult) {}))
		assert.Equal(t, tb.arrivalCount(), 0)
	})
}

// Guards against more connections than a server accepts: the shares of all instances
// together have to stay within its limit.
func TestConnectionSharesStayWithinTheServersLimit(t *testing.T) {
	for _, size := range []struct{ zones, perZone, accepted int }{{3, 2, 26}, {3, 3, 26}, {1, 1, 10}, {3, 22, 450}} {
		e := &Engine{zone: localZone, sharing: fleetSize{all: size.zones * size.perZone, zone: size.perZone}}
		local := e.Connections(size.accepted, &directory.Server{BackendServer: serverIn(localZone)})
		remote := e.Connections(size.accepted, &directory.Server{BackendServer: serverIn(remoteZone)})
		total := local*size.perZone + remote*(size.zones-1)*size.perZone
		// After a power failure the server also holds the connections of the previous runs.
		assert.Assert(t, 2*total <= size.accepted, "%+v: %d", size, total)
	}
}

// Guards against giving up a relay whose acceptance has arrived but is not read yet, because
// this instance got no processor time for some tens of milliseconds: requests ran on three
// servers of a shard where two are allowed.
func TestStarvedInstanceDoesNotGiveUpItsRelay(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(3)
		request := &Request{ID: "id", Arrived: time.Now()}
		r := newActiveRequest(tb.engine, route, request, func(string) int { return 0 })
		defer r.release()
		relay := tb.addRelay()
		rc := &relayCall{zone: remoteZone, relay: relay, shardRequests: r.shardRequests, started: time.Now(), resolved: make([]bool, 3), cancel: func() {}}
		r.relayCalls = append(r.relayCalls, rc)
		for _, s := range r.shardRequests {
			s.arrivals, s.inFlight = 1, 1 // as after enqueue
		}
		due := r.acceptanceDeadline(rc)
		r.abandonUnacceptedCalls(due.Add(starvationDelay + time.Millisecond))
		assert.Assert(t, rc.extended && !rc.ended)
		r.abandonUnacceptedCalls(r.timing.cutoff)
		assert.Assert(t, rc.ended)
		assert.Equal(t, relay.failed, 0)
		for _, s := range r.shardRequests {
			assert.Equal(t, s.arrivals, serversAskedWithHedge)
		}
		assert.Equal(t, tb.arrivalCount(), 0)
	})
}

// Guards against hedges for replies that have arrived but are not read yet, because an
// instance that asks many servers got no processor time.
func TestStarvedInstancePutsOffItsHedges(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(3, 0.5)
		r := newActiveRequest(tb.engine, route, &Request{ID: "id", Arrived: time.Now()}, func(string) int { return 0 })
		defer r.release()
		for _, s := range r.shardRequests {
			r.launch(s, first)
		}
		late := r.shardRequests[0].lastStarted.Add(r.timing.hedgeDelay + starvationDelay + time.Millisecond)
		r.startHedges(late)
		assert.Equal(t, r.trace.Hedges, 0)
		r.startHedges(late.Add(starvationDelay))
		assert.Equal(t, r.trace.Hedges, 3)
	})
}

// Guards against asking a third server for a shard: a relay must not hedge while its sender
// may still give it up and ask a server directly.
func TestRelayHedgesAfterItCanBeGivenUp(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(10)
		tb.addRelay()
		hedged := tb.hedgeOfRelay(route)
		wait := time.Duration(acceptanceShare * float64(route.TargetLatency))
		assert.Assert(t, hedged >= wait+cancelDelay, "hedged after %v", hedged)
	})
}

// Guards against urgent answers without the parts of servers that pause: a relay that its sender
// keeps until the cutoff waited with its hedges for as long as one that may be given up, 34 ms of
// a target of 80 ms, and the hedges came too late.
func TestKeptRelayHedgesInTime(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(10)
		tb.addRelay().stronger = true
		hedged := tb.hedgeOfRelay(route)
		delay := newTiming(route, &Request{Arrived: time.Now()}, tb.engine.latencyEstimate(route), 0).hedgeDelay
		assert.Assert(t, hedged >= delay && hedged < time.Duration(acceptanceShare*float64(route.TargetLatency)), "hedged after %v", hedged)
	})
}

// hedgeOfRelay returns the time between a relay's first attempt at a shard with slow servers and
// its hedge.
func (tb *testbed) hedgeOfRelay(route *routing.Route) time.Duration {
	tb.warmUp(route)
	tb.addServer("s03", "s03.c", remoteZone)
	attemptTimes := make(chan time.Time, 2)
	for _, id := range []string{"s03.b", "s03.c"} {
		tb.setBehaviour(id, func(ctx context.Context, call Call) (*Reply, error) {
			attemptTimes <- time.Now()
			return answersAfter(70*time.Millisecond)(ctx, call)
		})
	}
	tb.ask(background, route)
	first := <-attemptTimes
	return (<-attemptTimes).Sub(first)
}

// Guards against an instance with little processor time that asks the servers directly when
// a stronger instance of its zone is slow to accept: the replies would be late, and the
// request would reach a third server of a shard.
func TestWeakInstanceKeepsItsRelay(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(5, 0.89)
		relay := tb.addRelay()
		tb.relays[localZone], tb.relays[remoteZone] = relay, nil
		relay.silent = true
		answer, took := tb.ask(background, route)
		assert.Assert(t, answer.Refusal != nil)
		assert.Assert(t, took <= route.TargetLatency, "took %v", took)
		assert.Equal(t, tb.arrivalCount(), 0)
		assert.Equal(t, relay.failed, 1)
	})
}

// Guards against parts of urgent answers that are given up although they would be in time: a
// relay of the own zone kept as much time for the way back as one of another zone, a quarter of
// a target of 60 ms.
func TestRelayOfTheOwnZoneHasMoreTime(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		r := newActiveRequest(tb.engine, tb.shardedRoute(3, 0.5), &Request{ID: "id", Arrived: time.Now()}, func(string) int { return 0 })
		defer r.release()
		assert.Equal(t, r.relayMargin(remoteZone)-r.relayMargin(localZone), relayMargin-sameZoneRelayMargin)
		assert.Assert(t, r.relayMargin(localZone) >= relayGrace, "parts that are sent late by relayGrace must still arrive")
	})
}

// Guards against a second request that fails because a dead stronger instance is kept as relay
// until the answer is due: once it has not answered a call, the servers are asked directly when it
// does not accept the next one.
func TestRelayThatHasNotAnsweredIsNotKept(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(5, 0.89)
		relay := tb.addRelay()
		tb.relays[localZone], tb.relays[remoteZone] = relay, nil
		relay.silent = true
		answer, _ := tb.ask(background, route)
		assert.Assert(t, answer.Refusal != nil)
		answer, took := tb.ask(background, route)
		assert.Assert(t, answer.Merged != nil)
		assert.Assert(t, took <= route.TargetLatency, "took %v", took)
	})
}
