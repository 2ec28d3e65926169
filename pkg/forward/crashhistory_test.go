package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

// historyRoutes are the kinds of route over which a request can crash servers.
var historyRoutes = map[string]func(tb *testbed) *routing.Route{
	"safe": func(tb *testbed) *routing.Route { return tb.wideRoute(8) },
	"unsafe": func(tb *testbed) *routing.Route {
		route := tb.wideRoute(8)
		route.Repeatable = false
		return route
	},
	"sharded":    func(tb *testbed) *routing.Route { return tb.shardedRoute(20, 0.89) },
	"two shards": func(tb *testbed) *routing.Route { return tb.shardedRoute(2, 0.5) },
	"one shard":  func(tb *testbed) *routing.Route { return tb.shardedRoute(1, 1) },
}

// newHistoryScene returns a scene in which a crashed server comes back as a new run.
func newHistoryScene(tb *testbed, instances int) *crashScene {
	scene := newCrashScene(tb, instances)
	for id := range tb.servers {
		tb.setBehaviour(id, tb.counted(func(ctx context.Context, call Call) (*Reply, error) {
			reply, err := scene.crashable(ctx, call)
			if call.Request.Target == crashingTarget && scene.isDown(call.Server.ID) {
				time.AfterFunc(serverDowntime, func() { tb.restartServer(call.Server) })
			}
			return reply, err
		}))
	}
	return scene
}

// restartServer lists a new run of a server.
func (tb *testbed) restartServer(server *directory.Server) {
	listed := server.BackendServer
	listed.State = membership.StateLive
	tb.directory.Put(directory.Entry{Server: listed, Capacity: server.Capacity, Started: time.Now().UnixMilli()})
}

// loseAll replaces all instances by new ones, which know nothing of requests that crash servers.
func (scene *crashScene) loseAll() {
	scene.testbed.suspects = nil
	for n := range scene.engines {
		scene.engines[n] = scene.newEngine(localZone, scene.testbed)
	}
	for _, tracker := range scene.testbed.suspects {
		tracker.BeginHistory(time.Now())
	}
}

// A request that crashes servers comes again and again, and all instances are lost three times.
// Guards against a quarantine that each such loss lets begin from zero: every time three servers
// were lost again.
func TestQuarantineAfterTheLossOfAllInstances(t *testing.T) {
	for name, makeRoute := range historyRoutes {
		for _, pause := range []time.Duration{150 * time.Millisecond, time.Second, 7 * time.Second, 45 * time.Second} {
			t.Run(fmt.Sprintf("%s, each %v", name, pause), func(t *testing.T) {
				simulate(t, func(t *testing.T, tb *testbed) {
					route := makeRoute(tb)
					scene := newHistoryScene(tb, 6)
					n := 0
					repeat := func() {
						for range 10 {
							scene.send(route, n, crashingTarget)
							n++
							time.Sleep(pause)
						}
					}
					repeat()
					for range allowedRepeats {
						scene.loseAll()
						time.Sleep(learnTime + time.Second) // the instances are in touch again
						repeat()
					}
					assert.Assert(t, len(scene.late) <= allowedRepeats, "%d repeats reached servers more than %v after the third crash; %d crashes in all", len(scene.late), learnTime, len(scene.crashedAt))
				})
			})
		}
	}
}

// Instances that have just started and know nothing of earlier quarantines lose servers for causes
// that are not their requests. Guards against a quarantine of harmless requests after fewer losses
// than usual: callers of one path that all share, whose servers end together or one at a time.
func TestHarmlessRequestsAfterTheLossOfAllInstances(t *testing.T) {
	for name, makeRoute := range historyRoutes {
		for _, servers := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d servers end", name, servers), func(t *testing.T) {
				simulate(t, func(t *testing.T, tb *testbed) {
					route := makeRoute(tb)
					scene := newHistoryScene(tb, 3)
					scene.loseAll()
					refused, asked := 0, 0
					for n := range 60 {
						if n%20 == 5 {
							go scene.endServers(servers)
						}
						answer := scene.send(route, n, "/x/shared")
						asked++
						if answer.Refusal != nil && answer.Refusal.Reason == CrashSuspect {
							refused++
						}
						time.Sleep(50 * time.Millisecond)
					}
					assert.Equal(t, refused, 0, "of %d requests", asked)
				})
			})
		}
	}
}

// endServers ends servers while they work on requests.
func (scene *crashScene) endServers(servers int) {
	time.Sleep(work / 2)
	scene.mu.Lock()
	defer scene.mu.Unlock()
	for id := range scene.servers {
		if servers == 0 {
			return
		}
		servers--
		scene.downUntil[id] = time.Now().Add(serverDowntime)
	}
}

// Guards against an instance that starts beside others and quarantines after fewer losses than
// these, although it has learned all that they know.
func TestHistoryIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, starting := suspects.NewTracker(func(suspects.Change) {}), suspects.NewTracker(func(suspects.Change) {})
		starting.BeginHistory(time.Now())
		loss := func() suspects.Suspect {
			now := time.Now()
			return suspects.Suspect{Fingerprint: 1, Losses: []suspects.Loss{{Server: "a", Began: now, Ended: now}}, Unanswered: true}
		}
		starting.Merge(loss())
		assert.Assert(t, starting.Verdict(1, time.Now()).Quarantined())
		assert.Equal(t, len(starting.Shared(time.Now())), 1)
		running.Merge(loss())
		assert.Assert(t, !running.Verdict(1, time.Now()).Quarantined())
		starting.MergeHistory(running.HistoryAge(time.Now()), time.Now())
		assert.Assert(t, !starting.Verdict(1, time.Now()).Quarantined())
	})
}

// All servers of a service end while they run requests of instances that have just started. Guards
// against a quarantine of these requests, whose callers repeat them: the losses have another cause.
func TestRequestsThatLoseTheirServersTogetherAreNotQuarantined(t *testing.T) {
	for name, makeRoute := range historyRoutes {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				route := makeRoute(tb)
				if len(route.Shards) >= suspects.MaxLosses {
					return // the usual number of losses quarantines it, however many instances know of them
				}
				scene := newHistoryScene(tb, 3)
				scene.loseAll()
				var group sync.WaitGroup
				for n := range 12 {
					group.Go(func() {
						assert.Check(t, scene.isServedInTime(route, fmt.Sprint("/x/harmless/", n)), "request %d is not served", n)
					})
				}
				scene.endServers(len(tb.servers))
				group.Wait()
			})
		})
	}
}

// Instances that have just started lose a connection to a server under a request. Guards against a
// quarantine because of a connection that was reset while its server stays up, and against none
// because the server still accepted connections when it went down.
func TestLostConnectionQuarantinesOnlyIfTheServerIsDown(t *testing.T) {
	for name, c := range map[string]struct {
		down, laterDown, quarantined bool
	}{
		"server is down":         {down: true, quarantined: true},
		"server goes down":       {laterDown: true, quarantined: true},
		"only a lost connection": {},
	} {
		for kind, makeRoute := range historyRoutes {
			t.Run(name+", "+kind, func(t *testing.T) {
				simulate(t, func(t *testing.T, tb *testbed) {
					route := makeRoute(tb)
					if len(route.Shards) >= suspects.MaxLosses {
						return // the usual number of losses quarantines it
					}
					route.MaxAttempts = 1
					scene := newCrashScene(tb, 3)
					scene.loseAll()
					for id := range tb.servers {
						tb.setBehaviour(id, crashes)
					}
					tb.serverDown = func(*directory.Server) (bool, func() bool) {
						if c.down {
							return true, nil
						}
						return false, func() bool {
							time.Sleep(settleTime)
							return c.laterDown
						}
					}
					scene.send(route, 0, "/x/shared")
					time.Sleep(2 * settleTime)
					for n := range scene.engines {
						now := time.Now()
						request := &Request{ID: "again", Method: "GET", Target: "/x/shared", Host: "h", Arrived: now}
						verdict := newCrashSuspicion(scene.engines[n], request, route.Sharded()).verdict(now)
						assert.Equal(t, verdict.Quarantined(), c.quarantined, "instance %d", n)
					}
				})
			})
		}
	}
}
