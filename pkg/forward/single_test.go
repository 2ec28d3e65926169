package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// Guards against reporting a shortage of servers for a request whose caller has no time
// left, and against telling such a caller to retry.
func TestRequestWithoutTimeLeftIsRefusedAsTimedOut(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		for _, route := range []*routing.Route{tb.singleRoute(true), tb.shardedRoute(5, 1)} {
			now := time.Now()
			answer := tb.engine.Forward(background, routing.NewTable(1, nil, nil, routing.Limits{}), route,
				&Request{ID: "id", Method: "GET", Target: "/x/1", Arrived: now, Deadline: now.Add(callerMargin / 2)})
			assert.Equal(t, answer.Refusal.Reason, TimedOut)
			assert.Assert(t, answer.Refusal.NotRun)
			assert.Equal(t, answer.Refusal.RetryAfter, time.Duration(0))
			assert.Equal(t, tb.arrivalCount(), 0)
		}
	})
}

// Guards against an answer that differs from the server's reply.
func TestReplyIsPassedOn(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		answer, took := tb.ask(background, tb.singleRoute(true))
		assert.Equal(t, answer.Reply.Proof, "proof-one")
		assert.Equal(t, took, work)
	})
}

// Guards against a second run of a request that may run only once: after its answer is lost,
// no other server may be asked, and the refusal must not state "not run".
func TestLostAnswerOfUnrepeatableRequest(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(false)
		tb.setBehaviour("one.a", tb.counted(crashes))
		answer, _ := tb.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, AnswerLost)
		assert.Equal(t, answer.Refusal.NotRun, false)
		assert.Equal(t, tb.arrivalCount(), 1)
	})
}

// Guards against giving up an unrepeatable request after an attempt that certainly has not
// run it.
func TestRefusedUnrepeatableRequestGoesToAnotherServer(t *testing.T) {
	for name, act := range map[string]behaviour{"refused": refuses, "unreachable": unreachable} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				route := tb.singleRoute(false)
				tb.setBehaviour("one.a", tb.counted(act))
				answer, _ := tb.ask(background, route)
				assert.Assert(t, answer.Reply != nil)
			})
		})
	}
}

// Guards against a wrong "not run" statement: a request is stated as not run once all
// servers have refused it, and only then.
func TestFullServersAreStatedAsNotRun(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(false)
		tb.setBehaviour("one.a", refuses)
		tb.setBehaviour("one.b", refuses)
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, ServersRefused)
		assert.Equal(t, answer.Refusal.NotRun, true)
		assert.Assert(t, answer.Refusal.RetryAfter >= refusedRetryAfter)
		assert.Equal(t, took, time.Duration(0))
	})
}

// Guards against passing on a failure whose status promises that the request has not run,
// although the server does not state that: callers would repeat a request that may run only
// once. On other routes another server is asked.
func TestFalsePromiseIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		promises := func(context.Context, Call) (*Reply, error) {
			return &Reply{Status: status, Proof: "proof-of-failure", PromisesNotRun: true}, nil
		}
		for _, repeatable := range []bool{true, false} {
			simulate(t, func(t *testing.T, tb *testbed) {
				route := tb.singleRoute(repeatable)
				tb.setBehaviour("one.a", tb.counted(promises))
				answer, _ := tb.ask(background, route)
				if repeatable {
					assert.Assert(t, answer.Reply != nil && answer.Reply.success(), "%d", status)
					tb.setBehaviour("one.b", tb.counted(promises))
					answer, _ = tb.ask(background, route)
				} else {
					assert.Equal(t, tb.arrivalCount(), 1)
				}
				assert.Assert(t, answer.Refusal != nil, "%d", status)
				assert.Equal(t, answer.Refusal.Reason, AnswerLost)
				assert.Assert(t, !answer.Refusal.NotRun)
			})
		}
	}
}

// Guards against hedging a request that may run only once.
func TestUnrepeatableRequestIsNotHedged(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(false)
		tb.setBehaviour("one.a", tb.counted(answersAfter(2*time.Second)))
		answer, took := tb.ask(background, route)
		assert.Assert(t, answer.Reply != nil)
		assert.Equal(t, took, 2*time.Second)
		assert.Equal(t, tb.arrivalCount(), 1)
	})
}

// Guards against keeping a request beyond its route's timeout.
func TestRequestEndsAtItsTimeout(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(false)
		tb.setBehaviour("one.a", silent)
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, TimedOut)
		assert.Equal(t, answer.Refusal.NotRun, false)
		assert.Equal(t, took, route.Timeout)
	})
}

// Guards against replacing a server's error reply by a refusal when every server fails.
func TestFailureOfAllServersIsPassedOn(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(true)
		tb.setBehaviour("one.a", tb.counted(fails))
		tb.setBehaviour("one.b", tb.counted(fails))
		answer, _ := tb.ask(background, route)
		assert.Equal(t, answer.Reply.Status, 500)
		assert.Equal(t, tb.arrivalCount(), 2)
	})
}

// Guards, for any combination of servers, against a second run of an unrepeatable request
// and against a "not run" statement that is false.
func TestUnrepeatableRequestRunsAtMostOnce(t *testing.T) {
	acts := map[string]behaviour{
		"answers": answersAfter(work), "slow": answersAfter(time.Second), "silent": silent,
		"refuses": refuses, "unreachable": unreachable, "crashes": crashes, "fails": fails,
	}
	mayRun := map[string]bool{"answers": true, "slow": true, "silent": true, "crashes": true, "fails": true}
	names := []string{"answers", "crashes", "fails", "refuses", "silent", "slow", "unreachable"}
	rapid.Check(t, func(rt *rapid.T) {
		chosen := []string{rapid.SampledFrom(names).Draw(rt, "a"), rapid.SampledFrom(names).Draw(rt, "b")}
		patience := rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, 2 * time.Second}).Draw(rt, "patience")
		simulate(t, func(t *testing.T, tb *testbed) {
			route := tb.singleRoute(false)
			var runs atomic.Int32
			for i, id := range []string{"one.a", "one.b"} {
				act := acts[chosen[i]]
				tb.setBehaviour(id, func(ctx context.Context, call Call) (*Reply, error) {
					if mayRun[chosen[i]] {
						runs.Add(1)
					}
					return act(ctx, call)
				})
			}
			ctx, cancel := context.WithTimeout(background, patience)
			defer cancel()
			answer, _ := tb.ask(ctx, route)
			time.Sleep(time.Minute)
			assert.Assert(t, runs.Load() <= 1, "%v ran %d times", chosen, runs.Load())
			if answer.Refusal != nil && answer.Refusal.NotRun {
				assert.Equal(t, runs.Load(), int32(0), "%v", chosen)
			}
		})
	})
}

// Guards against attempts that never end because the channel of results is full: its buffer
// has no place for attempts at leaving servers.
func TestAttemptAtALeavingServerEnds(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(false)
		tb.setBehaviour("one.a", unreachable)
		tb.setBehaviour("one.b", unreachable)
		for n := range 3 {
			id := "one." + string(rune('c'+n))
			tb.addServer("one", id, localZone)
			tb.directory.Remove(id, time.Time{})
			tb.setBehaviour(id, silent)
		}
		answer, _ := tb.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, TimedOut)
	})
}

// The entry of a server lapses while the server runs requests, since the server was slow to
// report, and comes back. Guards against giving up these requests or running them again at
// another server.
func TestRequestsAtAServerWhoseEntryLapsesGoOn(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		const lapse, reply = 5 * time.Millisecond, 15 * time.Millisecond // too short for a hedge
		single, sharded := tb.singleRoute(false), tb.shardedRoute(3, 1)
		tb.warmUp(sharded)
		entries := map[string]*directory.Server{}
		for _, service := range append([]string{"one"}, sharded.Shards...) {
			for _, server := range tb.directory.Servers(service) {
				entries[server.ID] = server
				tb.setBehaviour(server.ID, tb.counted(answersAfter(reply)))
			}
		}
		go func() {
			time.Sleep(lapse / 2)
			for id := range entries {
				tb.directory.Remove(id, time.Time{})
			}
			time.Sleep(lapse)
			for _, server := range entries {
				tb.directory.Put(directory.Entry{Server: server.BackendServer, Capacity: 2})
			}
		}()
		var group sync.WaitGroup
		for _, route := range []*routing.Route{single, sharded} {
			group.Go(func() {
				answer, _ := tb.ask(background, route)
				assert.Check(t, answer.Refusal == nil, "%s: %+v", route.Name, answer.Refusal)
			})
		}
		group.Wait()
		assert.Equal(t, tb.arrivalCount(), 1+len(sharded.Shards))
	})
}
