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

// queuedServer runs two requests at a time, first come, first served. It stops at
// the time that it is told, and rejects what has waited for longer.
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

// slowShards slows down all servers of three shards.
func (w *world) slowShards(work time.Duration) {
	for _, shard := range []string{"s03", "s07", "s11"} {
		w.set(shard+".a", w.counted(queuedServer(work)))
		w.set(shard+".b", w.counted(queuedServer(work)))
	}
}

// load sends requests at even intervals and returns how many were answered by the
// target, late and not at all.
func (w *world) load(route *routing.Route, perSecond int, length time.Duration) (inTime, late, failed int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for range int(length.Seconds() * float64(perSecond)) {
		group.Go(func() {
			answer, took := w.ask(background, route)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case answer.Merged == nil:
				failed++
			case took <= route.Target:
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

// The pattern: all servers of several shards turn slow, so that the shards get more
// requests than they can serve, and one more is missing than the route allows.
// Guards against servers that work on parts for which no request waits any more
// while others become late: each slow shard can serve 40 of 60 requests in a second,
// and an answer may lack two of the three, so that most can be in time. At least half
// of what one shard can serve has to be.
func TestSlowShardsWorkOnPartsThatAreStillWanted(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		w.settle(route)
		w.slowShards(100 * time.Millisecond)
		inTime, late, failed := w.load(route, 60, 10*time.Second)
		assert.Assert(t, inTime >= 200, "%d in time, %d late, %d failed", inTime, late, failed)
	})
}

// The pattern: more shards are slow than the route allows to be missing. Guards
// against a request that ends without an answer because its parts were given up
// when the answer was due.
func TestPartsThatWereGivenUpAreAskedAgainForALateAnswer(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		w.settle(route)
		w.slowShards(400 * time.Millisecond)
		answer, took := w.ask(background, route)
		assert.Assert(t, answer.Merged != nil, "%+v", answer.Refusal)
		assert.Assert(t, len(answer.Merged.Proofs) >= route.RequiredShards())
		assert.Assert(t, took < route.Timeout/2, "%v", took)
	})
}

// The pattern: for long, more shards are slow than the route allows to be missing, so
// that no request can be in time and the budget for extra attempts is used up. Guards
// against requests that fail because their parts were given up when the answer was due
// and cannot be asked for again. The first ones may, until the slow shards are known.
func TestPartsAreNotGivenUpThatCannotBeAskedForAgain(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		w.settle(route)
		w.slowShards(300 * time.Millisecond)
		inTime, late, failed := w.load(route, 6, 60*time.Second)
		assert.Assert(t, failed <= 5, "%d in time, %d late, %d failed", inTime, late, failed)
	})
}

// The pattern: more shards of another zone are slow than the route allows to be missing,
// and their relay's servers stop shortly before the answer is due. Guards against a
// request that fails at that moment, or asks for parts that cannot be in time.
func TestPartsThatARelayHasGivenUpAreAskedAgainWhenTheAnswerIsDue(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.onlyThere(20)
		w.addPeer()
		w.settle(route)
		for _, shard := range []string{"s03", "s07", "s11"} {
			w.set(shard+".b", w.counted(queuedServer(300*time.Millisecond)))
		}
		answer, took := w.ask(background, route)
		assert.Assert(t, answer.Merged != nil, "%+v", answer.Refusal)
		assert.Equal(t, answer.Merged.Missing <= 2, true)
		assert.Assert(t, took > 400*time.Millisecond && took < 600*time.Millisecond, "%v", took)
		assert.Equal(t, w.arrived(), 20+3)
	})
}

// The same with as many slow shards as the route allows to be missing. Guards against
// work that is started in the moment in which the answer goes out without it.
func TestNothingIsAskedAgainWhenTheAnswerGoesOut(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.onlyThere(20)
		w.addPeer()
		w.settle(route)
		for _, shard := range []string{"s03", "s07"} {
			w.set(shard+".b", w.counted(queuedServer(300*time.Millisecond)))
		}
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 2)
		assert.Assert(t, took <= route.Target, "%v", took)
		time.Sleep(time.Second)
		assert.Equal(t, w.arrived(), 20)
	})
}

// Guards against a third server that is asked for a shard when the route allows two.
func TestPartsAreAskedAgainOnlyAtTheSameServers(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(1, 1)
		w.addServer("s00", "s00.c", here)
		w.settle(route)
		for _, id := range []string{"s00.a", "s00.b", "s00.c"} {
			w.set(id, w.counted(queuedServer(400*time.Millisecond)))
		}
		answer, _ := w.ask(background, route)
		assert.Assert(t, answer.Merged != nil, "%+v", answer.Refusal)
		asked := map[string]bool{}
		for _, arrival := range w.arrivals {
			asked[arrival] = true
		}
		assert.Equal(t, len(asked), route.MaxAttempts, "%v", w.arrivals)
		assert.Equal(t, len(w.arrivals), 3)
	})
}

// The pattern: a request waits for room at a server that begins to leave meanwhile.
// Guards against sending it there once there is room.
func TestRequestThatWaitedDoesNotGoToALeavingServer(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(1, 1)
		w.directory.Remove("s00.b")
		w.settle(route)
		servers := w.directory.Servers("s00")
		assert.Equal(t, len(servers), 1)
		for range 2 {
			time.Sleep(500 * time.Millisecond) // longer than a pause
			now := time.Now()
			late := w.engine.tracker.Begin(servers[0], route.Name, now, now)
			time.Sleep(10 * work)
			late.End(replicas.Expired, time.Now())
		}
		now := time.Now()
		occupied := []*replicas.Attempt{w.engine.tracker.Begin(servers[0], route.Name, now, now), w.engine.tracker.Begin(servers[0], route.Name, now, now)}
		go func() {
			time.Sleep(30 * time.Millisecond)
			leaving := servers[0].BackendServer
			leaving.State = membership.StateLeaving
			w.directory.Put(directory.Entry{Server: leaving, Capacity: 2})
			w.addServer("s00", "s00.c", here)
			for _, a := range occupied {
				a.End(replicas.Answered, time.Now())
			}
		}()
		answer, _ := w.ask(background, route)
		assert.Assert(t, answer.Merged != nil, "%+v", answer.Refusal)
		assert.DeepEqual(t, w.arrivals, []string{"s00 s00.c"})
	})
}

// The pattern: requests of two ranks at shards that cannot serve all of them. Guards
// against room that goes to requests of the lower rank while others wait for it.
func TestRoomGoesToTheHigherRank(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		first := w.sharded(4, 1)
		second := *first
		second.Name, second.Priority = "second", first.Priority+1
		w.settle(first)
		w.settle(&second)
		for _, id := range []string{"s00.a", "s00.b"} {
			w.set(id, w.counted(queuedServer(100*time.Millisecond)))
		}
		// 40 a second fit; each rank sends 30.
		var group sync.WaitGroup
		inTime := map[string]int{}
		var mu sync.Mutex
		for _, route := range []*routing.Route{first, &second} {
			group.Go(func() {
				n, _, _ := w.load(route, 30, 10*time.Second)
				mu.Lock()
				defer mu.Unlock()
				inTime[route.Name] = n
			})
		}
		group.Wait()
		// What fits is the whole of the higher rank and a third of the lower one.
		assert.Assert(t, inTime[first.Name] > 300*2/3, "%v", inTime)
		assert.Assert(t, inTime[first.Name] > 2*inTime[second.Name], "%v", inTime)
	})
}
