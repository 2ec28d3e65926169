package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const (
	// rateWindow and the figures of allowedArrivals are the platform's bound on requests at a
	// server that names a limit.
	rateWindow   = 4 * time.Second
	rateFactor   = 1.5
	rateSlack    = 5
	heedAfter    = time.Second // the bound holds from then on
	loadDuration = 12 * time.Second
)

// limitedServer answers and names a limit, whatever it gets.
type limitedServer struct {
	limit float64

	mu       sync.Mutex
	arrivals []time.Time
}

func (server *limitedServer) answer(ctx context.Context, call Call) (*Reply, error) {
	server.mu.Lock()
	server.arrivals = append(server.arrivals, time.Now())
	server.mu.Unlock()
	reply, err := answersAfter(work)(ctx, call)
	if reply != nil {
		reply.Notice = replicas.Notice{RateLimit: server.limit}
	}
	return reply, err
}

// mostInWindow returns the most arrivals within rateWindow, from the given time on.
func (server *limitedServer) mostInWindow(from time.Time) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	most, first := 0, 0
	for last, at := range server.arrivals {
		for server.arrivals[first].Before(from) || at.Sub(server.arrivals[first]) > rateWindow {
			if first++; first > last {
				break
			}
		}
		most = max(most, last-first+1)
	}
	return most
}

// rateLoad sends requests at an even rate to the instances in turn and returns the share that
// is answered in time and the longest time that a refused request was held.
func (tb *testbed) rateLoad(engines []*Engine, route *routing.Route, perSecond int) (served float64, held time.Duration) {
	var mu sync.Mutex
	var group sync.WaitGroup
	answered, total := 0, 0
	for began := time.Now(); time.Since(began) < loadDuration; total++ {
		n := total
		group.Go(func() {
			now := time.Now()
			request := &Request{ID: fmt.Sprint(n), Method: "GET", Target: fmt.Sprint("/x/", n), Host: "h", Arrived: now, Deadline: now.Add(2 * time.Second)}
			answer := engines[n%len(engines)].Forward(background, routing.NewTable(1, nil, nil, routing.Limits{}), route, request)
			mu.Lock()
			defer mu.Unlock()
			if took := time.Since(now); answer.Refusal != nil {
				held = max(held, took)
			} else if took <= route.TargetLatency {
				answered++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	return float64(answered) / float64(total), held
}

// Guards against more requests at a server than the limit that it names, summed over all
// instances, and against refusing requests that the limits leave room for.
func TestServersGetNoMoreThanTheLimitsTheyName(t *testing.T) {
	const instances, perSecond = 3, 100
	for name, c := range map[string]struct {
		sharded   bool
		limited   string // suffixes of the limited servers
		limit     float64
		minServed float64 // the limits leave room for at least this share
	}{
		"single, one server limited":   {limited: "a", limit: 20, minServed: 0.95},
		"single, all servers limited":  {limited: "ab", limit: 30, minServed: 0.5},
		"sharded, one server limited":  {sharded: true, limited: "a", limit: 20, minServed: 0.95},
		"sharded, all servers limited": {sharded: true, limited: "ab", limit: 30, minServed: 0.45},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed()
				defer time.Sleep(time.Minute)
				route := tb.singleRoute(true)
				services := []string{"one"}
				if c.sharded {
					route = tb.shardedRoute(5, 1)
					services = route.Shards
				}
				var limited []*limitedServer
				for _, service := range services {
					for _, suffix := range c.limited {
						server := &limitedServer{limit: c.limit}
						limited = append(limited, server)
						tb.setBehaviour(service+"."+string(suffix), server.answer)
					}
				}
				engines := []*Engine{tb.engine}
				for range instances - 1 {
					engines = append(engines, tb.newEngine(localZone, tb))
				}
				began := time.Now()
				served, held := tb.rateLoad(engines, route, perSecond)
				for _, server := range limited {
					most := server.mostInWindow(began.Add(heedAfter))
					assert.Check(t, float64(most) <= rateFactor*c.limit*rateWindow.Seconds()+rateSlack, "%d requests in %v at a server that takes %.0f a second", most, rateWindow, c.limit)
				}
				assert.Check(t, served >= c.minServed, "%.2f of the requests are answered in time, there is room for more", served)
				assert.Check(t, held <= route.TargetLatency, "a refused request was held for %v", held)
			})
		})
	}
}

// Guards against a refusal that comes late, or that names the wrong shortage, when the rate
// limits of all servers are used up.
func TestRequestIsRefusedAtOnceWhenRateLimitsAreUsedUp(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		for _, route := range []*routing.Route{tb.singleRoute(true), tb.shardedRoute(5, 1)} {
			for id := range tb.servers {
				tb.setBehaviour(id, tb.counted((&limitedServer{limit: 0.2}).answer))
			}
			var answer *Answer
			var took time.Duration
			for range 4 { // two replies name the limits
				answer, took = tb.ask(background, route)
			}
			assert.Assert(t, answer.Refusal != nil)
			assert.Equal(t, answer.Refusal.Reason, RateLimited)
			assert.Assert(t, answer.Refusal.NotRun)
			assert.Assert(t, answer.Refusal.RetryAfter >= refusedRetryAfter)
			assert.Equal(t, took, time.Duration(0))
		}
	})
}

// Guards against limits that hold requests back after the server no longer names them.
func TestLimitEndsWhenRepliesNoLongerNameIt(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(5, 1)
		for _, service := range route.Shards {
			for _, suffix := range []string{".a", ".b"} {
				tb.setBehaviour(service+suffix, (&limitedServer{limit: 4}).answer)
			}
		}
		tb.rateLoad([]*Engine{tb.engine}, route, 50)
		for id := range tb.servers {
			tb.setBehaviour(id, tb.counted(answersAfter(work)))
		}
		time.Sleep(time.Second)
		tb.ask(background, route)
		time.Sleep(time.Second)
		tb.ask(background, route)
		served, _ := tb.rateLoad([]*Engine{tb.engine}, route, 50)
		assert.Assert(t, served > 0.95, "%.2f served", served)
	})
}
