package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/replicas"
)

// turnsAway replies that the request has not run and asks for a pause.
func turnsAway(pause time.Duration) behaviour {
	return func(context.Context, Call) (*Reply, error) {
		return &Reply{Status: 503, NotRun: true, Notice: replicas.Notice{PauseFor: pause}}, nil
	}
}

// Guards against requests to a server that has asked for a pause, and against requests that
// are refused although another server is free.
func TestServerThatAsksForAPauseGetsNoRequests(t *testing.T) {
	const pause = 2 * time.Second
	for name, sharded := range map[string]bool{"single": false, "sharded": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				route, server := tb.singleRoute(true), "one.a"
				if sharded {
					route, server = tb.shardedRoute(5, 1), "s00.a"
				}
				tb.ask(background, route)
				var arrivals atomic.Int32
				tb.setBehaviour(server, func(ctx context.Context, call Call) (*Reply, error) {
					arrivals.Add(1)
					return turnsAway(pause)(ctx, call)
				})
				tb.ask(background, route)
				asked := time.Now()
				for time.Since(asked) < pause-work {
					var group sync.WaitGroup
					for range 8 { // so many that the other server alone looks busy
						group.Go(func() {
							answer, _ := tb.ask(background, route)
							assert.Check(t, answer.Refusal == nil, "refused: %+v", answer.Refusal)
						})
					}
					group.Wait()
				}
				assert.Equal(t, arrivals.Load(), int32(1))
			})
		})
	}
}

// Guards against requests that wait for servers which all have asked for a pause: they are
// refused at once, as not run.
func TestRequestIsRefusedAtOnceWhileAllServersPause(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		for _, route := range []struct {
			sharded bool
		}{{false}, {true}} {
			r, names := tb.singleRoute(true), []string{"one.a", "one.b"}
			if route.sharded {
				r, names = tb.shardedRoute(1, 1), []string{"s00.a", "s00.b"}
			}
			for _, name := range names {
				tb.setBehaviour(name, tb.counted(turnsAway(time.Second)))
			}
			tb.ask(background, r)
			reached := tb.arrivalCount()
			answer, took := tb.ask(background, r)
			assert.Equal(t, tb.arrivalCount(), reached)
			assert.Equal(t, took, time.Duration(0))
			assert.Assert(t, answer.Refusal.NotRun)
			assert.Assert(t, answer.Refusal.RetryAfter > 0)
			time.Sleep(time.Second)
			tb.ask(background, r)
			assert.Assert(t, tb.arrivalCount() > reached, "the pause has not ended")
		}
	})
}

// Guards against requests to a server that has said in a reply that it leaves, which this
// instance does not learn from the platform's list.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(5, 1)
		tb.setBehaviour("s00.a", tb.counted(func(ctx context.Context, call Call) (*Reply, error) {
			reply, err := answersAfter(work)(ctx, call)
			if reply != nil {
				reply.Notice.Leaving = true
			}
			return reply, err
		}))
		for range 20 {
			answer, _ := tb.ask(background, route)
			assert.Equal(t, answer.Merged.Missing, 0)
		}
		reached := 0
		for _, arrival := range tb.arrivals {
			if arrival == "s00 s00.a" {
				reached++
			}
		}
		assert.Equal(t, reached, 1)
	})
}
