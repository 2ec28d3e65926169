package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against replies that fill the memory of the instance, against bytes that stay counted
// after their request, and against a server that is blamed for it.
func TestBurstOfLargeRepliesStaysWithinTheBound(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(4, 0.5)
		tb.warmUp(route)
		tb.replyBytes = 2 * int64(len(record("s00")))
		for range 5 {
			answer, _ := tb.ask(background, route)
			assert.Equal(t, len(answer.Merged.Proofs), 2)
			assert.Equal(t, answer.Trace.Events[0].Detail, "no memory for the reply")
			time.Sleep(2 * route.Timeout)
			assert.Equal(t, tb.engine.replies.Held(), int64(0))
		}
		single := tb.singleRoute(true)
		tb.replyBytes = 1
		answer, _ := tb.ask(background, single)
		assert.Assert(t, answer.Reply != nil, "a ready answer is delivered")
		tb.replyBytes = 1 << 20
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Equal(t, took, work)
	})
}
