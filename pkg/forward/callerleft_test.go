package forward

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The result of a failed attempt is ready when the caller leaves. Guards against a further attempt
// that begins because the result is handled first.
func TestNoAttemptBeginsAfterTheCallerHasLeft(t *testing.T) {
	const rounds = 40
	for name, makeRoute := range historyRoutes {
		t.Run(name, func(t *testing.T) {
			further := 0
			for range rounds {
				simulate(t, func(t *testing.T, tb *testbed) {
					route := makeRoute(tb)
					for id := range tb.servers {
						tb.setBehaviour(id, tb.counted(refuses)) // a request that has not run may be sent on
					}
					now := time.Now()
					r := newActiveRequest(tb.engine, route, &Request{ID: "id", Method: "GET", Arrived: now, Deadline: now.Add(time.Second)}, func(string) int { return 26 })
					ctx, cancel := context.WithCancel(background)
					defer r.release()
					defer cancel()
					answered := r.loop(ctx, func(time.Time) bool {
						time.Sleep(work) // the first attempts end
						cancel()
						return false
					})
					assert.Assert(t, !answered)
					time.Sleep(time.Second)
					further += tb.arrivalCount() - len(r.shardRequests)
				})
			}
			assert.Equal(t, further, 0, "further attempts in %d rounds", rounds)
		})
	}
}
