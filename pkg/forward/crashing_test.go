package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

const (
	crashingTarget = "/x/crash"
	// serverDowntime is how long a crashed server refuses connections.
	serverDowntime = 2 * time.Second
	// timeToNotice is how long after a crash the connection is known to be lost.
	timeToNotice = time.Millisecond
	// learnTime is how long after the third crash the instances may still send the request.
	learnTime = 4 * time.Second
	// allowedRepeats is the number of repeats that may reach servers after learnTime.
	allowedRepeats = 3
	// crashesToLearn is the number of servers lost after which learnTime starts.
	crashesToLearn = 3
)

// crashScene is a deployment in which one request crashes each server that begins to run it.
type crashScene struct {
	*testbed
	engines   []*Engine
	downUntil map[string]time.Time // by server id
	crashedAt []time.Time
	late      map[string]int // attempts that reached servers after learnTime, by request id
}

// crashRoutes are the kinds of route that a crashing request may use.
var crashRoutes = map[string]func(tb *testbed) *routing.Route{
	"single":  func(tb *testbed) *routing.Route { return tb.wideRoute(6) },
	"sharded": func(tb *testbed) *routing.Route { return tb.shardedRoute(20, 0.89) },
}

// newCrashScene returns a scene with several instances, in which the crashing request takes
// down each server of the testbed.
func newCrashScene(tb *testbed, instances int) *crashScene {
	scene := &crashScene{testbed: tb, engines: []*Engine{tb.engine}, downUntil: map[string]time.Time{}, late: map[string]int{}}
	for range instances - 1 {
		scene.engines = append(scene.engines, tb.newEngine(localZone, tb))
	}
	for id := range tb.servers {
		tb.setBehaviour(id, tb.counted(scene.crashable))
	}
	return scene
}

// crashable returns the behaviour of a server that the crashing request takes down.
func (scene *crashScene) crashable(ctx context.Context, call Call) (*Reply, error) {
	if scene.isDown(call.Server.ID) {
		return unreachable(ctx, call)
	}
	if call.Request.Target != crashingTarget {
		reply, err := answersAfter(work)(ctx, call)
		if scene.isDown(call.Server.ID) {
			return nil, connectionLost()
		}
		return reply, err
	}
	scene.recordCrash(call)
	_ = waitFor(ctx, timeToNotice)
	return nil, connectionLost()
}

func (scene *crashScene) isDown(server string) bool {
	scene.mu.Lock()
	defer scene.mu.Unlock()
	return time.Now().Before(scene.downUntil[server])
}

func (scene *crashScene) recordCrash(call Call) {
	scene.mu.Lock()
	defer scene.mu.Unlock()
	now := time.Now()
	if len(scene.crashedAt) >= crashesToLearn && now.Sub(scene.crashedAt[crashesToLearn-1]) > learnTime {
		scene.late[call.Request.ID]++
	}
	scene.crashedAt = append(scene.crashedAt, now)
	scene.downUntil[call.Server.ID] = now.Add(serverDowntime)
}

// send sends the n-th request to the instances in turn.
func (scene *crashScene) send(route *routing.Route, n int, target string) *Answer {
	now := time.Now()
	request := &Request{ID: fmt.Sprint(target, n), Method: "GET", Target: target, Host: "h", Arrived: now, Deadline: now.Add(2 * time.Second)}
	return scene.engines[n%len(scene.engines)].Forward(background, routing.NewTable(1, nil, nil, routing.Limits{}), route, request)
}

// Guards against a request that takes down one server after the other: each repeat has a new
// id and arrives at another instance, so no instance alone sees all crashes.
func TestRequestThatCrashesServersIsNotSentOn(t *testing.T) {
	for name, makeRoute := range crashRoutes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed()
				defer time.Sleep(time.Minute)
				route := makeRoute(tb)
				scene := newCrashScene(tb, 6)
				for n := range 40 {
					scene.send(route, n, crashingTarget)
					time.Sleep(400 * time.Millisecond)
				}
				time.Sleep(serverDowntime)
				scene.mu.Lock()
				late, crashed := len(scene.late), len(scene.crashedAt)
				scene.mu.Unlock()
				assert.Assert(t, late <= allowedRepeats, "%d repeats reached servers more than %v after the third crash; %d crashes in all", late, learnTime, crashed)
				answer := scene.send(route, 0, "/x/harmless")
				assert.Assert(t, answer.Refusal == nil, "a harmless request is refused as %+v", answer.Refusal)
			})
		})
	}
}

// Guards against losing servers to a request that is already suspected: after the first
// losses it asks one server at a time, and none after the third loss in a row.
func TestSuspectedShardedRequestAsksOneServerAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed()
		defer time.Sleep(time.Minute)
		route := tb.shardedRoute(20, 0.89)
		scene := newCrashScene(tb, 6)
		for n := range 10 {
			scene.send(route, n, crashingTarget)
		}
		scene.mu.Lock()
		defer scene.mu.Unlock()
		assert.Equal(t, len(scene.crashedAt), len(route.Shards)+suspects.MaxLosses-1)
	})
}

// Guards against a quarantine of requests that were in flight on the servers that another
// request crashed: their callers repeat them, and they are served.
func TestHarmlessRequestsBesideACrashingOneAreServed(t *testing.T) {
	for name, makeRoute := range crashRoutes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed()
				defer time.Sleep(time.Minute)
				route := makeRoute(tb)
				scene := newCrashScene(tb, 3)
				var group sync.WaitGroup
				for n := range 30 {
					group.Go(func() {
						time.Sleep(time.Duration(n) * time.Millisecond)
						assert.Check(t, scene.isServedInTime(route, fmt.Sprint("/x/harmless/", n)), "request %d is not served", n)
					})
				}
				time.Sleep(work / 2)
				scene.send(route, 0, crashingTarget)
				group.Wait()
			})
		})
	}
}

// isServedInTime repeats a request as its caller would until it is served, for some seconds.
func (scene *crashScene) isServedInTime(route *routing.Route, target string) bool {
	for n := range 10 {
		answer := scene.send(route, n, target)
		if answer.Refusal == nil {
			return true
		}
		if answer.Refusal.Reason == CrashSuspect {
			return false
		}
		time.Sleep(serverDowntime / 4)
	}
	return false
}

// Guards against taking a refusal in quarantine for a shortage: it says that the request has
// not run and when the quarantine ends, and reaches no server. As long as the servers may still
// turn out to be alive, the caller is told to come back soon.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.wideRoute(6)
		scene := newCrashScene(tb, 1)
		scene.send(route, 0, crashingTarget)
		scene.send(route, 1, crashingTarget)
		assert.Equal(t, len(scene.crashedAt), suspects.MaxLosses)
		reports := tb.reports.Load()
		answer := scene.send(route, 2, crashingTarget)
		assert.Equal(t, answer.Refusal.Reason, CrashSuspect)
		assert.Assert(t, answer.Refusal.NotRun)
		assert.Equal(t, tb.reports.Load(), reports, "a refusal tells the other instances nothing new")
		assert.Assert(t, answer.Refusal.RetryAfter <= time.Second)
		time.Sleep(answer.Refusal.RetryAfter)
		answer = scene.send(route, 2, crashingTarget)
		assert.Equal(t, answer.Refusal.Reason, CrashSuspect)
		assert.Assert(t, answer.Refusal.RetryAfter > suspects.QuarantineTime-2*time.Second)
		assert.Equal(t, len(scene.crashedAt), suspects.MaxLosses)
		time.Sleep(answer.Refusal.RetryAfter)
		scene.send(route, 3, crashingTarget)
		assert.Assert(t, len(scene.crashedAt) > suspects.MaxLosses, "the quarantine has not ended")
	})
}

// Guards against suspecting, here and at the other instances, a request that another server
// has answered after a connection was lost under it.
func TestRequestWithAReplyIsNotSuspected(t *testing.T) {
	for name, makeRoute := range crashRoutes {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				route := makeRoute(tb)
				lost := 0
				for _, server := range []string{"one.0", "s00.a"} { // asked first
					tb.setBehaviour(server, func(context.Context, Call) (*Reply, error) {
						lost++
						return nil, connectionLost()
					})
				}
				for range 3 {
					answer, _ := tb.ask(background, route)
					assert.Assert(t, answer.Refusal == nil, "%+v", answer.Refusal)
				}
				assert.Assert(t, lost > 0)
				assert.Equal(t, tb.reports.Load(), int32(0))
				request := &Request{ID: "id", Method: "GET", Target: "/x/1"}
				assert.Assert(t, !newCrashSuspicion(tb.engine, request, route.Sharded()).verdict(time.Now()).Suspected())
			})
		})
	}
}

// Guards against losing a server at each instance to copies of a request that arrive at the
// same moment, when a single further loss suffices to quarantine it.
func TestCopiesOfASuspectedRequestAreHeldBack(t *testing.T) {
	const rounds, copies = 20, 4
	crashed := 0
	for range rounds {
		simulate(t, func(t *testing.T, tb *testbed) {
			route := tb.wideRoute(12)
			route.Repeatable = false
			scene := newCrashScene(tb, copies)
			for n := range suspects.MaxLosses - 1 {
				scene.send(route, n, crashingTarget)
			}
			var group sync.WaitGroup
			for n := range copies {
				group.Go(func() { scene.send(route, n, crashingTarget) })
			}
			group.Wait()
			crashed += len(scene.crashedAt) - (suspects.MaxLosses - 1)
		})
	}
	assert.Assert(t, crashed < 2*rounds, "%d servers lost to %d copies in each of %d rounds", crashed, copies, rounds)
}

// Guards against giving up a request whose parts were all lost at once because the servers that
// it asked next are down: they have not run it and say nothing about it.
func TestServersThatAreDownAreNoProbes(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.05)
		for n, service := range route.Shards {
			tb.setBehaviour(service+".a", func(ctx context.Context, _ Call) (*Reply, error) {
				_ = waitFor(ctx, timeToNotice)
				return nil, connectionLost()
			})
			if n < len(route.Shards)-1 {
				tb.setBehaviour(service+".b", unreachable)
			}
		}
		answer, _ := tb.ask(background, route)
		assert.Assert(t, answer.Refusal == nil, "%+v", answer.Refusal)
	})
}
