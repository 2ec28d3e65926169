package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// settleTime is how long after its reply it is known whether a server went down.
const settleTime = 100 * time.Millisecond

// endings are the ways in which the connection of a server that goes down during a reply can end.
var endings = map[string]func(down func() bool) (*Reply, error){
	"server is down at once": func(func() bool) (*Reply, error) { return nil, connectionLost() },
	"server is down a moment later": func(down func() bool) (*Reply, error) {
		return nil, &CallError{Sent: true, Detail: "truncated reply", Cause: io.ErrUnexpectedEOF, ServerDown: down}
	},
	"like that of a whole reply": func(down func() bool) (*Reply, error) {
		return &Reply{Status: 200, Proof: "proof", Body: []byte("half"), ServerDown: down}, nil
	},
}

// replyInPart lets the servers that the crashing request takes down begin a reply to it.
func (scene *crashScene) replyInPart(ending func(down func() bool) (*Reply, error)) {
	for id := range scene.servers {
		scene.setBehaviour(id, scene.counted(func(ctx context.Context, call Call) (*Reply, error) {
			reply, err := scene.crashable(ctx, call)
			var lost *CallError
			if call.Request.Target != crashingTarget || !errors.As(err, &lost) || !lost.ConnectionLost {
				return reply, err
			}
			time.AfterFunc(serverDowntime, func() { scene.restartServer(call.Server) })
			return ending(func() bool {
				time.Sleep(settleTime)
				return true
			})
		}))
	}
}

// Guards against a request that crashes servers while they answer it and is never suspected, since
// its replies count as truncated or as whole.
func TestRequestThatCrashesServersDuringTheReplyIsNotSentOn(t *testing.T) {
	for ending, end := range endings {
		for name, makeRoute := range historyRoutes {
			t.Run(name+", "+ending, func(t *testing.T) {
				simulate(t, func(t *testing.T, tb *testbed) {
					route := makeRoute(tb)
					scene := newCrashScene(tb, 6)
					scene.replyInPart(end)
					for n := range 30 {
						scene.send(route, n, crashingTarget)
						time.Sleep(time.Second)
					}
					scene.mu.Lock()
					late, crashed := len(scene.late), len(scene.crashedAt)
					scene.mu.Unlock()
					assert.Assert(t, late <= allowedRepeats, "%d repeats reached servers more than %v after the third crash; %d crashes in all", late, learnTime, crashed)
				})
			})
		}
	}
}

// Guards against suspecting the requests of servers that truncate replies, or end them with the
// connection, and stay up, and against waiting for the servers' state.
func TestRequestsOfFaultyServersAreNotSuspected(t *testing.T) {
	for ending, end := range endings {
		if ending == "server is down at once" {
			continue // nothing is left to learn about such a server
		}
		for name, makeRoute := range historyRoutes {
			t.Run(name+", "+ending, func(t *testing.T) {
				simulate(t, func(t *testing.T, tb *testbed) {
					route := makeRoute(tb)
					var asked atomic.Int64
					for id := range tb.servers {
						tb.setBehaviour(id, func(ctx context.Context, call Call) (*Reply, error) {
							if asked.Add(1)%2 == 0 {
								return answersAfter(work)(ctx, call)
							}
							return end(func() bool {
								time.Sleep(settleTime)
								return false
							})
						})
					}
					scene := &crashScene{testbed: tb, engines: []*Engine{tb.engine}, downUntil: map[string]time.Time{}, late: map[string]int{}}
					for n := range 20 {
						answer := scene.send(route, n, "/x/shared")
						assert.Assert(t, answer.Refusal == nil || answer.Refusal.Reason != CrashSuspect, "%+v", answer.Refusal)
						time.Sleep(settleTime)
					}
					for _, tracker := range tb.suspects {
						assert.Equal(t, len(tracker.Shared(time.Now())), 0)
					}
				})
			})
		}
	}
}

// Guards against suspecting the last requests of a server that leaves and then ends: their replies
// end with its connections.
func TestServerThatLeavesMayEndAfterItsReply(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint(leaves), func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				route := tb.wideRoute(2)
				for id := range tb.servers {
					tb.setBehaviour(id, func(_ context.Context, call Call) (*Reply, error) {
						if leaves {
							tb.directory.MarkLeaving(call.Server)
						}
						return endings["like that of a whole reply"](func() bool {
							time.Sleep(settleTime)
							return true
						})
					})
				}
				answer, _ := tb.ask(background, route)
				assert.Assert(t, answer.Refusal == nil)
				time.Sleep(2 * settleTime)
				request := &Request{ID: "id", Method: "GET", Target: "/x/1"}
				assert.Equal(t, newCrashSuspicion(tb.engine, request, false).verdict(time.Now()).Suspected(), !leaves)
			})
		})
	}
}
