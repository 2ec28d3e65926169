package forward

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var background = context.Background()

// Guards against merged answers that lack parts, and against asking more servers than
// needed when none of them is slow or fails.
func TestShardedRequestWithoutDelays(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		answer, took := tb.ask(background, route)
		assert.Assert(t, answer.Merged != nil)
		assert.Equal(t, len(answer.Merged.Proofs), 20)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Equal(t, len(answer.Merged.Body), 10*16)
		assert.Equal(t, took, work)
		assert.Equal(t, tb.arrivalCount(), 20)
	})
}

// Guards against waiting for a server that pauses while requests wait there.
func TestPausedServerIsHedged(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		tb.warmUp(route)
		tb.setBehaviour("s03.a", tb.counted(answersAfter(150*time.Millisecond)))
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Assert(t, took < 80*time.Millisecond, "took %v", took)
		assert.Equal(t, tb.arrivalCount(), 21)
		assert.Equal(t, answer.Trace.Hedges, 1)
	})
}

// Guards against an answer that is late because both servers of one shard are slow, although
// the route allows this shard to be missing.
func TestAnswerWithEnoughShardsGoesOutAtTheTarget(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		tb.setBehaviour("s03.a", tb.counted(answersAfter(time.Second)))
		tb.setBehaviour("s03.b", tb.counted(answersAfter(time.Second)))
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 1)
		assert.DeepEqual(t, answer.Trace.Missing, []string{"s03"})
		assert.Assert(t, took <= route.TargetLatency, "took %v", took)
		assert.Assert(t, took > route.TargetLatency/2, "took %v", took)
	})
}

// Guards against an answer with less than the required share of shards, and against a
// refusal when a late answer is possible.
func TestLateAnswerWhenTooFewShardsAreInTime(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		for _, id := range []string{"s01.a", "s01.b", "s02.a", "s02.b", "s03.a", "s03.b"} {
			tb.setBehaviour(id, tb.counted(answersAfter(400*time.Millisecond)))
		}
		answer, took := tb.ask(background, route)
		assert.Assert(t, answer.Merged != nil)
		assert.Assert(t, len(answer.Merged.Proofs) >= 18)
		assert.Assert(t, took >= 400*time.Millisecond && took < 500*time.Millisecond, "took %v", took)
	})
}

// Guards against keeping a request until its deadline when it can no longer be answered,
// because all servers of several shards are down.
func TestUnanswerableRequestIsRefusedImmediately(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		for _, id := range []string{"s01.a", "s01.b", "s02.a", "s02.b", "s03.a", "s03.b"} {
			tb.setBehaviour(id, unreachable)
		}
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, NoServer)
		// Other shards may have run the request.
		assert.Equal(t, answer.Refusal.NotRun, false)
		assert.Equal(t, answer.Refusal.RetryAfter, time.Duration(0))
		assert.Equal(t, took, time.Duration(0))
	})
}

// Guards against load on the other shards for a request that is known to be unanswerable,
// because the servers of several shards failed before. The caller can retry later.
func TestKnownUnanswerableRequestIsRefusedBeforeAnythingIsSent(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		for _, id := range []string{"s01.a", "s01.b", "s02.a", "s02.b", "s03.a", "s03.b"} {
			tb.setBehaviour(id, tb.counted(crashes))
		}
		tb.ask(background, route)
		tb.ask(background, route)
		before := tb.arrivalCount()
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, NoServer)
		assert.Equal(t, answer.Refusal.NotRun, true)
		assert.Assert(t, answer.Refusal.RetryAfter > 0)
		assert.Equal(t, took, time.Duration(0))
		assert.Equal(t, tb.arrivalCount(), before)
	})
}

// Guards against a refusal that does not state "not run" although nothing was sent.
func TestRequestWithoutServersIsRefusedAsNotRun(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(3, 0.89)
		for _, service := range route.Shards {
			tb.directory.Remove(service+".a", time.Time{})
			tb.directory.Remove(service+".b", time.Time{})
		}
		time.Sleep(10 * time.Second)
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, NoServer)
		assert.Equal(t, answer.Refusal.NotRun, true)
		assert.Assert(t, answer.Refusal.RetryAfter > 0)
		assert.Equal(t, took, time.Duration(0))
	})
}

// Guards against an error reply that is accepted as a part because it has a proof.
func TestServerErrorIsNotUsedAsPart(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		tb.setBehaviour("s03.a", tb.counted(fails))
		answer, _ := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		for _, proof := range answer.Merged.Proofs {
			assert.Assert(t, proof != "proof-of-failure")
		}
		assert.Equal(t, answer.Trace.Retries, 1)
	})
}

// Guards against asking more servers for a shard than the route allows.
func TestAttemptsOfAShardAreBounded(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(10, 0.5)
		tb.addServer("s03", "s03.c", localZone)
		for _, id := range []string{"s03.a", "s03.b", "s03.c"} {
			tb.setBehaviour(id, tb.counted(refuses))
		}
		answer, _ := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 1)
		assert.Equal(t, tb.arrivalCount(), 9+route.MaxAttempts)
	})
}

// Guards against charging the budget for attempts that reach no server.
func TestUnreachableServerCostsNoBudget(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(10, 0.89)
		tb.setBehaviour("s03.a", unreachable)
		left := tb.budget.Remaining("s03", time.Now())
		answer, _ := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Assert(t, tb.budget.Remaining("s03", time.Now()) >= left)
	})
}

// Guards against hedges beyond the budget when all servers are slow.
func TestHedgesKeepTheBudget(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(4, 0.5)
		tb.warmUp(route)
		for _, service := range route.Shards {
			tb.setBehaviour(service+".a", tb.counted(answersAfter(140*time.Millisecond)))
			tb.setBehaviour(service+".b", tb.counted(answersAfter(140*time.Millisecond)))
		}
		const requests = 400
		for range requests {
			go tb.ask(background, route)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		perService := tb.arrivalCount() / len(route.Shards)
		allowed := int(testLimits.Ratio*requests + testLimits.Allowance)
		assert.Assert(t, perService-requests <= allowed, "%d extra, %d allowed", perService-requests, allowed)
		assert.Assert(t, perService > requests, "nothing was hedged")
	})
}

// Guards against attempts that continue after the caller has left.
func TestCallerThatLeavesCancelsAllAttempts(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(5, 0.89)
		ended := make(chan time.Time, 20)
		for _, service := range route.Shards {
			tb.setBehaviour(service+".a", func(ctx context.Context, call Call) (*Reply, error) {
				defer func() { ended <- time.Now() }()
				return silent(ctx, call)
			})
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(background, 10*time.Millisecond)
		defer cancel()
		answer, took := tb.ask(ctx, route)
		assert.Equal(t, answer.Refusal.Reason, CallerLeft)
		assert.Equal(t, took, 10*time.Millisecond)
		for range route.Shards {
			assert.Equal(t, (<-ended).Sub(began), 10*time.Millisecond)
		}
	})
}

// Guards against cancelling an attempt whose hedge replied first: its server is working on
// it, and its connection stays usable once the reply is read.
func TestLosingAttemptEndsNormally(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		tb.warmUp(route)
		cause := make(chan error, 1)
		tb.setBehaviour("s03.a", func(ctx context.Context, call Call) (*Reply, error) {
			reply, err := answersAfter(150*time.Millisecond)(ctx, call)
			cause <- ctx.Err()
			return reply, err
		})
		tb.ask(background, route)
		assert.NilError(t, <-cause)
	})
}
