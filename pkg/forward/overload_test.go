package forward

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// queuedServer runs two requests at a time, in order of arrival. It stops work on a request
// at the time that the call states, and rejects a request that waits until then.
func queuedServer(work time.Duration) behaviour {
	slots := make(chan struct{}, 2)
	return func(ctx context.Context, call Call) (*Reply, error) {
		left := time.Until(call.Until)
		select {
		case slots <- struct{}{}:
		case <-time.After(left):
			return &Reply{Status: 503, NotRun: true}, nil
		case <-ctx.Done():
			return nil, &CallError{Sent: true, Detail: "given up", Cause: ctx.Err()}
		}
		defer func() { <-slots }()
		if left = time.Until(call.Until); left < work {
			time.Sleep(max(left, 0))
			return &Reply{Status: 504, Proof: "proof-of-failure"}, nil
		}
		return answersAfter(work)(ctx, call)
	}
}

// limit makes the engine set a concurrency limit at a server: its capacity.
func (tb *testbed) limit(server *directory.Server, route *routing.Route) {
	for range 2 {
		time.Sleep(500 * time.Millisecond) // longer than a pause of a server
		now := time.Now()
		expired := tb.engine.tracker.Begin(server, route.Name, now, now)
		time.Sleep(10 * work)
		expired.End(replicas.Expired, time.Now())
	}
}

// slowShards makes all servers of three shards take the given time for each request.
func (tb *testbed) slowShards(work time.Duration) {
	for _, shard := range []string{"s03", "s07", "s11"} {
		tb.setBehaviour(shard+".a", tb.counted(queuedServer(work)))
		tb.setBehaviour(shard+".b", tb.counted(queuedServer(work)))
	}
}

// sendLoad sends requests at even intervals and returns how many were answered within the
// target, late and not at all.
func (tb *testbed) sendLoad(route *routing.Route, perSecond int, length time.Duration) (inTime, late, failed int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for range int(length.Seconds() * float64(perSecond)) {
		group.Go(func() {
			answer, took := tb.ask(background, route)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case answer.Merged == nil:
				failed++
			case took <= route.TargetLatency:
				inTime++
			default:
				late++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	return inTime, late, failed
}

// Guards against servers that work on parts for which no request waits any more while other
// parts become late. All servers of three shards are slow, one shard more than an answer
// may lack, and each of these shards can serve 40 of the 60 requests in a second. Since an
// answer may lack two of the three, most requests can be answered in time; at least half
// of what one shard can serve has to be.
func TestSlowShardsWorkOnPartsThatAreStillWanted(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		tb.warmUp(route)
		tb.slowShards(100 * time.Millisecond)
		inTime, late, failed := tb.sendLoad(route, 60, 10*time.Second)
		assert.Assert(t, inTime >= 200, "%d in time, %d late, %d failed", inTime, late, failed)
	})
}

// Guards against requests that get no answer because servers stopped work on their parts at
// the cutoff, when more shards are slow than the route allows to be missing.
func TestPartsThatWereGivenUpAreAskedAgainForALateAnswer(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		tb.warmUp(route)
		tb.slowShards(400 * time.Millisecond)
		answer, took := tb.ask(background, route)
		assert.Assert(t, answer.Merged != nil, "%+v", answer.Refusal)
		assert.Assert(t, len(answer.Merged.Proofs) >= route.RequiredShards())
		assert.Assert(t, took < route.Timeout/2, "%v", took)
	})
}

// Guards against requests that fail because servers stopped work on their parts at the
// cutoff and the budget allows no retry. More shards are slow than the route allows to be
// missing, for so long that the retry budget is used up and no request can be in time. The
// first requests may fail, until the engine knows that the shards are slow.
func TestPartsAreNotGivenUpThatCannotBeAskedForAgain(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		tb.warmUp(route)
		tb.slowShards(300 * time.Millisecond)
		inTime, late, failed := tb.sendLoad(route, 6, 60*time.Second)
		assert.Assert(t, failed <= 5, "%d in time, %d late, %d failed", inTime, late, failed)
	})
}

// Guards against requests that fail, or ask for parts that cannot be in time, in the short
// interval between a relay's cutoff and the sender's. More shards of another zone are slow
// than the route allows to be missing, and the servers that the relay asks stop shortly
// before the sender's cutoff.
func TestPartsThatARelayHasGivenUpAreAskedAgainWhenTheAnswerIsDue(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(20)
		tb.addRelay()
		tb.warmUp(route)
		for _, shard := range []string{"s03", "s07", "s11"} {
			tb.setBehaviour(shard+".b", tb.counted(queuedServer(300*time.Millisecond)))
		}
		answer, took := tb.ask(background, route)
		assert.Assert(t, answer.Merged != nil, "%+v", answer.Refusal)
		assert.Equal(t, answer.Merged.Missing <= 2, true)
		assert.Assert(t, took > 400*time.Millisecond && took < 600*time.Millisecond, "%v", took)
		assert.Equal(t, tb.arrivalCount(), 20+3)
	})
}

// Guards against attempts that start at the moment in which the answer goes out without
// them. As many shards are slow as the route allows to be missing.
func TestNoRetryWhenTheAnswerGoesOut(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.remoteShardedRoute(20)
		tb.addRelay()
		tb.warmUp(route)
		for _, shard := range []string{"s03", "s07"} {
			tb.setBehaviour(shard+".b", tb.counted(queuedServer(300*time.Millisecond)))
		}
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 2)
		assert.Assert(t, took <= route.TargetLatency, "%v", took)
		time.Sleep(time.Second)
		assert.Equal(t, tb.arrivalCount(), 20)
	})
}

// Guards against asking a third server for a shard when the route allows two.
func TestPartsAreAskedAgainOnlyAtTheSameServers(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(1, 1)
		tb.addServer("s00", "s00.c", localZone)
		tb.warmUp(route)
		for _, id := range []string{"s00.a", "s00.b", "s00.c"} {
			tb.setBehaviour(id, tb.counted(queuedServer(400*time.Millisecond)))
		}
		answer, _ := tb.ask(background, route)
		assert.Assert(t, answer.Merged != nil, "%+v", answer.Refusal)
		asked := map[string]bool{}
		for _, arrival := range tb.arrivals {
			asked[arrival] = true
		}
		assert.Equal(t, len(asked), route.MaxAttempts, "%v", tb.arrivals)
		assert.Equal(t, len(tb.arrivals), 3)
	})
}

// Guards against sending a request to a server that started to leave while the request
// waited for capacity there.
func TestRequestThatWaitedDoesNotGoToALeavingServer(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(1, 1)
		tb.directory.Remove("s00.b", time.Time{})
		tb.warmUp(route)
		servers := tb.directory.Servers("s00")
		assert.Equal(t, len(servers), 1)
		tb.limit(servers[0], route)
		now := time.Now()
		occupied := []*replicas.Attempt{tb.engine.tracker.Begin(servers[0], route.Name, now, now), tb.engine.tracker.Begin(servers[0], route.Name, now, now)}
		go func() {
			time.Sleep(30 * time.Millisecond)
			// The other server is listed first: until then the one that leaves is the last resort.
			tb.addServer("s00", "s00.c", localZone)
			leaving := servers[0].BackendServer
			leaving.State = membership.StateLeaving
			tb.directory.Put(directory.Entry{Server: leaving, Capacity: 2})
			for _, a := range occupied {
				a.End(replicas.Answered, time.Now())
			}
		}()
		answer, _ := tb.ask(background, route)
		assert.Assert(t, answer.Merged != nil, "%+v", answer.Refusal)
		assert.DeepEqual(t, tb.arrivals, []string{"s00 s00.c"})
	})
}

// Guards against capacity that goes to requests of the lower priority while requests of the
// higher one wait for it, at shards that cannot serve all of them.
func TestCapacityGoesToTheHigherPriority(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		first := tb.shardedRoute(4, 1)
		second := *first
		second.Name, second.Priority = "second", first.Priority+1
		tb.warmUp(first)
		tb.warmUp(&second)
		for _, id := range []string{"s00.a", "s00.b"} {
			tb.setBehaviour(id, tb.counted(queuedServer(100*time.Millisecond)))
		}
		// The capacity is 40 requests a second; each priority sends 30.
		var group sync.WaitGroup
		inTime := map[string]int{}
		var mu sync.Mutex
		for _, route := range []*routing.Route{first, &second} {
			group.Go(func() {
				n, _, _ := tb.sendLoad(route, 30, 10*time.Second)
				mu.Lock()
				defer mu.Unlock()
				inTime[route.Name] = n
			})
		}
		group.Wait()
		// The capacity suffices for all requests of the higher priority and a third of the others.
		assert.Assert(t, inTime[first.Name] > 300*2/3, "%v", inTime)
		assert.Assert(t, inTime[first.Name] > 2*inTime[second.Name], "%v", inTime)
	})
}
