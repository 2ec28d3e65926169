package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// Guards against a shortage of servers that is stated for a request whose caller had
// no time left, and against telling such a caller to come back.
func TestRequestWithoutTimeIsNotBlamedOnServers(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		for _, route := range []*routing.Route{w.single(true), w.sharded(5, 1)} {
			now := time.Now()
			answer := w.engine.Forward(background, routing.NewTable(1, nil, nil, routing.Limits{}), route,
				&Request{ID: "id", Method: "GET", Target: "/x/1", Arrived: now, Deadline: now.Add(callerMargin / 2)})
			assert.Equal(t, answer.Refusal.Reason, TimedOut)
			assert.Assert(t, answer.Refusal.NotRun)
			assert.Equal(t, answer.Refusal.RetryAfter, time.Duration(0))
			assert.Equal(t, w.arrived(), 0)
		}
	})
}

// Guards against a change of the server's answer.
func TestReplyIsPassedOn(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		answer, took := w.ask(background, w.single(true))
		assert.Equal(t, answer.Reply.Proof, "proof-one")
		assert.Equal(t, took, work)
	})
}

// Guards against a second run of a request that may run only once: after its
// answer is lost no other server is asked, and nothing is promised.
func TestLostAnswerOfUnrepeatableRequest(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.single(false)
		w.set("one.a", w.counted(crashes))
		answer, _ := w.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, AnswerLost)
		assert.Equal(t, answer.Refusal.NotRun, false)
		assert.Equal(t, w.arrived(), 1)
	})
}

// Guards against giving up an unrepeatable request that has provably not run.
func TestRefusedUnrepeatableRequestGoesToAnotherServer(t *testing.T) {
	for name, act := range map[string]behaviour{"refused": refuses, "unreachable": unreachable} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, w *world) {
				route := w.single(false)
				w.set("one.a", w.counted(act))
				answer, _ := w.ask(background, route)
				assert.Assert(t, answer.Reply != nil)
			})
		})
	}
}

// Guards against a promise that is not true: only when all servers have refused is
// the request stated as not run.
func TestFullServersAreStatedAsNotRun(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.single(false)
		w.set("one.a", refuses)
		w.set("one.b", refuses)
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, ServersRefused)
		assert.Equal(t, answer.Refusal.NotRun, true)
		assert.Assert(t, answer.Refusal.RetryAfter >= refusedRetryAfter)
		assert.Equal(t, took, time.Duration(0))
	})
}

// Guards against hedging a request that may run only once.
func TestUnrepeatableRequestIsNotHedged(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.single(false)
		w.set("one.a", w.counted(answersAfter(2*time.Second)))
		answer, took := w.ask(background, route)
		assert.Assert(t, answer.Reply != nil)
		assert.Equal(t, took, 2*time.Second)
		assert.Equal(t, w.arrived(), 1)
	})
}

// Guards against holding a request beyond its route's timeout or its caller's time.
func TestRequestEndsAtItsTimeout(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.single(false)
		w.set("one.a", silent)
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, TimedOut)
		assert.Equal(t, answer.Refusal.NotRun, false)
		assert.Equal(t, took, route.Timeout)
	})
}

// Guards against replacing a server's own failure by one of this product when
// every server fails.
func TestFailureOfAllServersIsPassedOn(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.single(true)
		w.set("one.a", w.counted(fails))
		w.set("one.b", w.counted(fails))
		answer, _ := w.ask(background, route)
		assert.Equal(t, answer.Reply.Status, 500)
		assert.Equal(t, w.arrived(), 2)
	})
}

// Guards, for any mix of servers, against a second run of an unrepeatable request
// and against an untrue promise.
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
		simulate(t, func(t *testing.T, w *world) {
			route := w.single(false)
			var runs atomic.Int32
			for i, id := range []string{"one.a", "one.b"} {
				act := acts[chosen[i]]
				w.set(id, func(ctx context.Context, call Call) (*Reply, error) {
					if mayRun[chosen[i]] {
						runs.Add(1)
					}
					return act(ctx, call)
				})
			}
			ctx, cancel := context.WithTimeout(background, patience)
			defer cancel()
			answer, _ := w.ask(ctx, route)
			time.Sleep(time.Minute)
			assert.Assert(t, runs.Load() <= 1, "%v ran %d times", chosen, runs.Load())
			if answer.Refusal != nil && answer.Refusal.NotRun {
				assert.Equal(t, runs.Load(), int32(0), "%v", chosen)
			}
		})
	})
}

// Guards against attempts that never end because their result finds no room: a server
// that leaves is not among the usual ones for which there is room.
func TestAttemptAtALeavingServerEnds(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.single(false)
		w.set("one.a", unreachable)
		w.set("one.b", unreachable)
		for n := range 3 {
			id := "one." + string(rune('c'+n))
			w.addServer("one", id, here)
			w.directory.Remove(id)
			w.set(id, silent)
		}
		answer, _ := w.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, TimedOut)
	})
}
