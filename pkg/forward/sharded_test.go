package forward

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var background = context.Background()

// Guards against merged answers that miss parts, and against asking more servers
// than needed on a calm day.
func TestCalmShardedRequest(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		answer, took := w.ask(background, route)
		assert.Assert(t, answer.Merged != nil)
		assert.Equal(t, len(answer.Merged.Proofs), 20)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Equal(t, len(answer.Merged.Body), 10*16)
		assert.Equal(t, took, work)
		assert.Equal(t, w.arrived(), 20)
	})
}

// The pattern: a server pauses while requests wait at it. Guards against waiting
// for the end of the pause.
func TestPausedServerIsHedged(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		w.settle(route)
		w.set("s03.a", w.counted(answersAfter(150*time.Millisecond)))
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Assert(t, took < 80*time.Millisecond, "took %v", took)
		assert.Equal(t, w.arrived(), 21)
		assert.Equal(t, answer.Trace.Hedges, 1)
	})
}

// The pattern: both servers of a shard are slow. Guards against an answer that is
// late for the sake of one shard when the route allows it to be missing.
func TestAnswerWithEnoughShardsGoesOutAtTheTarget(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		w.set("s03.a", w.counted(answersAfter(time.Second)))
		w.set("s03.b", w.counted(answersAfter(time.Second)))
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 1)
		assert.DeepEqual(t, answer.Trace.Missing, []string{"s03"})
		assert.Assert(t, took <= route.Target, "took %v", took)
		assert.Assert(t, took > route.Target/2, "took %v", took)
	})
}

// Guards against an answer below the required share, and against a failure where a
// late answer is possible.
func TestLateAnswerWhenTooFewShardsAreInTime(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		for _, id := range []string{"s01.a", "s01.b", "s02.a", "s02.b", "s03.a", "s03.b"} {
			w.set(id, w.counted(answersAfter(400*time.Millisecond)))
		}
		answer, took := w.ask(background, route)
		assert.Assert(t, answer.Merged != nil)
		assert.Assert(t, len(answer.Merged.Proofs) >= 18)
		assert.Assert(t, took >= 400*time.Millisecond && took < 500*time.Millisecond, "took %v", took)
	})
}

// The pattern: all servers of several shards are down. Guards against holding a
// request that cannot be answered any more until its deadline.
func TestHopelessRequestEndsAtOnce(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		for _, id := range []string{"s01.a", "s01.b", "s02.a", "s02.b", "s03.a", "s03.b"} {
			w.set(id, unreachable)
		}
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, NoServer)
		// Other shards are running, so nothing is promised.
		assert.Equal(t, answer.Refusal.NotRun, false)
		assert.Equal(t, answer.Refusal.RetryAfter, time.Duration(0))
		assert.Equal(t, took, time.Duration(0))
	})
}

// The same pattern once the failures are known. Guards against load on the other
// shards for a request that cannot be answered; the caller can come back.
func TestKnownHopelessRequestIsRefusedBeforeAnythingIsSent(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		for _, id := range []string{"s01.a", "s01.b", "s02.a", "s02.b", "s03.a", "s03.b"} {
			w.set(id, w.counted(crashes))
		}
		w.ask(background, route)
		w.ask(background, route)
		before := w.arrived()
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, NoServer)
		assert.Equal(t, answer.Refusal.NotRun, true)
		assert.Assert(t, answer.Refusal.RetryAfter > 0)
		assert.Equal(t, took, time.Duration(0))
		assert.Equal(t, w.arrived(), before)
	})
}

// Guards against a refusal without a promise when nothing was sent at all.
func TestRequestWithoutServersIsRefusedAsNotRun(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(3, 0.89)
		for _, service := range route.Shards {
			w.directory.Remove(service + ".a")
			w.directory.Remove(service + ".b")
		}
		time.Sleep(10 * time.Second)
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, NoServer)
		assert.Equal(t, answer.Refusal.NotRun, true)
		assert.Assert(t, answer.Refusal.RetryAfter > 0)
		assert.Equal(t, took, time.Duration(0))
	})
}

// Guards against a server's failure that is taken for a part because it bears a
// proof.
func TestFailureIsNoPart(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		w.set("s03.a", w.counted(fails))
		answer, _ := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		for _, proof := range answer.Merged.Proofs {
			assert.Assert(t, proof != "proof-of-failure")
		}
		assert.Equal(t, answer.Trace.Retries, 1)
	})
}

// Guards against more servers for a shard than the route allows.
func TestAttemptsOfAShardAreBounded(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(10, 0.5)
		w.addServer("s03", "s03.c", here)
		for _, id := range []string{"s03.a", "s03.b", "s03.c"} {
			w.set(id, w.counted(refuses))
		}
		answer, _ := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 1)
		assert.Equal(t, w.arrived(), 9+route.MaxAttempts)
	})
}

// Guards against charging the budget for attempts that reach no server.
func TestUnreachableServerCostsNoBudget(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(10, 0.89)
		w.set("s03.a", unreachable)
		left := w.budget.Left("s03", time.Now())
		answer, _ := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Assert(t, w.budget.Left("s03", time.Now()) >= left)
	})
}

// Guards against hedges beyond the budget when every server of a zone is slow.
func TestHedgesKeepTheBudget(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(4, 0.5)
		w.settle(route)
		for _, service := range route.Shards {
			w.set(service+".a", w.counted(answersAfter(140*time.Millisecond)))
			w.set(service+".b", w.counted(answersAfter(140*time.Millisecond)))
		}
		const requests = 400
		for range requests {
			go w.ask(background, route)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		perService := w.arrived() / len(route.Shards)
		allowed := int(testLimits.Ratio*requests + testLimits.Allowance)
		assert.Assert(t, perService-requests <= allowed, "%d extra, %d allowed", perService-requests, allowed)
		assert.Assert(t, perService > requests, "nothing was hedged")
	})
}

// Guards against work for a caller that has left.
func TestCallerThatLeavesCancelsAllAttempts(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(5, 0.89)
		ended := make(chan time.Time, 20)
		for _, service := range route.Shards {
			w.set(service+".a", func(ctx context.Context, call Call) (*Reply, error) {
				defer func() { ended <- time.Now() }()
				return silent(ctx, call)
			})
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(background, 10*time.Millisecond)
		defer cancel()
		answer, took := w.ask(ctx, route)
		assert.Equal(t, answer.Refusal.Reason, CallerLeft)
		assert.Equal(t, took, 10*time.Millisecond)
		for range route.Shards {
			assert.Equal(t, (<-ended).Sub(began), 10*time.Millisecond)
		}
	})
}

// Guards against cutting off an attempt that lost against its hedge: its server is
// at work, and its connection stays usable when the reply is read.
func TestLosingAttemptEndsNormally(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		w.settle(route)
		cause := make(chan error, 1)
		w.set("s03.a", func(ctx context.Context, call Call) (*Reply, error) {
			reply, err := answersAfter(150*time.Millisecond)(ctx, call)
			cause <- ctx.Err()
			return reply, err
		})
		w.ask(background, route)
		assert.NilError(t, <-cause)
	})
}
