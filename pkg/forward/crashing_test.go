package forward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const (
	crashingTarget = "/x/crash"
	// serverDowntime is how long a crashed server refuses connections.
	serverDowntime = 2 * time.Second
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

// newCrashScene returns a scene with several instances.
func newCrashScene(tb *testbed, instances int) *crashScene {
	scene := &crashScene{testbed: tb, engines: []*Engine{tb.engine}, downUntil: map[string]time.Time{}, late: map[string]int{}}
	for range instances - 1 {
		scene.engines = append(scene.engines, tb.newEngine(localZone, tb))
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
	for name, makeRoute := range map[string]func(tb *testbed) *routing.Route{
		"single":  func(tb *testbed) *routing.Route { return tb.wideRoute(6) },
		"sharded": func(tb *testbed) *routing.Route { return tb.shardedRoute(20, 0.89) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed()
				defer time.Sleep(time.Minute)
				route := makeRoute(tb)
				scene := newCrashScene(tb, 6)
				for id := range tb.servers {
					tb.servers[id] = tb.counted(scene.crashable)
				}
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
