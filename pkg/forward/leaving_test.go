package forward

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/lifecycle"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// Guards against a request that waits for a connection to a server and reaches it long after
// it has begun to leave: it has to go to a server that stays, at once.
func TestWaitingAttemptMovesWhenItsServerLeaves(t *testing.T) {
	const leaves = 100 * time.Millisecond
	for name, routeOf := range map[string]func(*testbed) (*routing.Route, string){
		"unsafe":  func(tb *testbed) (*routing.Route, string) { return tb.singleRoute(false), "one" },
		"safe":    func(tb *testbed) (*routing.Route, string) { return tb.singleRoute(true), "one" },
		"sharded": func(tb *testbed) (*routing.Route, string) { return tb.shardedRoute(5, 1), "s00" },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				route, service := routeOf(tb)
				route.TargetLatency = 2 * time.Second // hedges come after the server has left
				tb.occupy(service+".a", 4*time.Second)
				tb.drain(service, service+".a", localZone, leaves)
				answer, took := tb.ask(background, route)
				assert.Assert(t, answer.Refusal == nil)
				assert.Equal(t, took, leaves+work)
				time.Sleep(5 * time.Second)
				assert.Assert(t, !slices.Contains(tb.arrivals, service+" "+service+".a"))
			})
		})
	}
}

// Guards against servers that are chosen from the list of the time at which the request
// arrived: a retry must not go to one that has begun to leave since.
func TestRetryUsesServersThatStay(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(true)
		route.TargetLatency = 10 * time.Second // no hedges
		tb.addServer("one", "one.c", localZone)
		for _, id := range []string{"one.a", "one.c"} {
			tb.setBehaviour(id, tb.counted(func(ctx context.Context, call Call) (*Reply, error) {
				if err := waitFor(ctx, time.Second); err != nil {
					return nil, err
				}
				return nil, connectionLost()
			}))
			tb.drain("one", id, localZone, 100*time.Millisecond)
		}
		answer, _ := tb.ask(background, route)
		assert.Assert(t, answer.Refusal == nil)
		assert.Equal(t, tb.arrivals[1], "one one.b")
	})
}

// Guards against giving up a leaving server that is the only one of its service, and against
// using it after its last-resort time: the request is then refused as not run.
func TestWaitAtOnlyServerThatLeaves(t *testing.T) {
	for name, test := range map[string]struct {
		busy   time.Duration
		served bool
	}{
		"connection in time": {busy: time.Second, served: true},
		"connection late":    {busy: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				tb.addServer("lone", "lone.a", localZone)
				route := &routing.Route{Name: "lone", TargetLatency: 500 * time.Millisecond, Timeout: 5 * time.Second, MaxAttempts: 2,
					WeightedServices: []routing.WeightedService{{Service: "lone", Weight: 1}}}
				tb.occupy("lone.a", test.busy)
				tb.drain("lone", "lone.a", localZone, 100*time.Millisecond)
				answer, _ := tb.ask(background, route)
				assert.Equal(t, answer.Refusal == nil, test.served)
				if !test.served {
					assert.Assert(t, answer.Refusal.NotRun)
					assert.Equal(t, tb.arrivalCount(), 0)
				}
			})
		})
	}
}

// Guards against stating that a request may have run, or sending it later, when it is refused
// while its attempt still waits for a connection.
func TestRefusedWhileWaitingForConnection(t *testing.T) {
	for name, refuse := range map[string]struct {
		after  time.Duration
		cause  error
		reason Reason
	}{
		"shutdown": {after: time.Second, cause: lifecycle.ErrInterrupted, reason: ShuttingDown},
		"timeout":  {after: 30 * time.Second, reason: TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				route := tb.singleRoute(false)
				tb.occupy("one.a", 6*time.Second)
				tb.occupy("one.b", 6*time.Second)
				ctx, cancel := context.WithCancelCause(background)
				time.AfterFunc(refuse.after, func() { cancel(refuse.cause) })
				answer, _ := tb.ask(ctx, route)
				assert.Equal(t, answer.Refusal.Reason, refuse.reason)
				assert.Assert(t, answer.Refusal.NotRun)
				time.Sleep(10 * time.Second)
				assert.Equal(t, tb.arrivalCount(), 0)
			})
		})
	}
}
