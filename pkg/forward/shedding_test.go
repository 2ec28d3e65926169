package forward

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// occupySlots makes this instance run as many attempts at a server as its limit allows, for d.
// Then it calls freed.
func (tb *testbed) occupySlots(server *directory.Server, route *routing.Route, d time.Duration, freed func()) {
	now := time.Now()
	for range 2 {
		a := tb.engine.tracker.Begin(server, route.Name, now, now)
		time.AfterFunc(d, func() {
			a.End(replicas.Answered, time.Now())
			freed()
		})
	}
}

// lessUrgent returns a copy of a route with the next lower priority.
func lessUrgent(route *routing.Route) *routing.Route {
	other := *route
	other.Name, other.Priority = route.Name+" less urgent", route.Priority+1
	return &other
}

// onlyServer leaves one server of the first shard and sets a limit there.
func (tb *testbed) onlyServer(route *routing.Route) *directory.Server {
	tb.directory.Remove("s00.b", time.Time{})
	tb.warmUp(route)
	server := tb.directory.Servers("s00")[0]
	tb.limit(server, route)
	return server
}

// Guards against requests that are held until they are late although their shard has no
// capacity in time, while their callers could try again.
func TestBurstThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		tb.engine.refuseInOverload = true
		route := tb.shardedRoute(1, 1)
		server := tb.onlyServer(route)
		tb.occupySlots(server, route, 500*time.Millisecond, func() {})
		var group sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		for range 40 {
			group.Go(func() {
				answer, took := tb.ask(background, route)
				mu.Lock()
				defer mu.Unlock()
				if refusal := answer.Refusal; refusal != nil && refusal.Reason == NoCapacity {
					refused++
					assert.Check(t, refusal.NotRun && took == 0, "%+v after %v", refusal, took)
					assert.Check(t, refusal.RetryAfter > 0 && refusal.RetryAfter <= route.Timeout/3, "%v", refusal.RetryAfter)
				}
			})
			time.Sleep(time.Microsecond)
		}
		time.Sleep(time.Millisecond)
		// Two slots serve two attempts in the expected time; the rest would be late.
		mu.Lock()
		assert.Check(t, refused >= 20 && refused < 40, "%d refused", refused)
		mu.Unlock()
		group.Wait()
	})
}

// Guards against a burst of less urgent requests that delays the most urgent ones at a server
// without free capacity.
func TestBurstOfLeastUrgentWaitsForTheMostUrgent(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		urgent := tb.shardedRoute(1, 1)
		server := tb.onlyServer(urgent)
		full := lessUrgent(urgent)
		tb.occupySlots(server, urgent, 15*time.Millisecond, func() { tb.engine.shedding.Queue.Wake("s00") })
		var group sync.WaitGroup
		for range 6 {
			group.Go(func() { tb.ask(background, full) })
			time.Sleep(time.Microsecond)
		}
		_, took := tb.ask(background, urgent)
		assert.Equal(t, took, 30*time.Millisecond-6*time.Microsecond)
		group.Wait()
	})
}

// Guards against a caller that was refused and is overtaken by new requests when it returns.
func TestReturnedRequestGoesBeforeNewOnes(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(1, 1)
		server := tb.onlyServer(route)
		ask := func(target string) (*Answer, time.Duration) {
			began := time.Now()
			answer := tb.engine.Forward(background, routing.NewTable(1, nil, nil, routing.Limits{}), route, &Request{ID: "id", Method: "GET", Target: target, Arrived: began})
			return answer, time.Since(began)
		}
		tb.setBehaviour("s00.a", refuses)
		answer, _ := ask("/x/returns")
		assert.Assert(t, answer.Refusal != nil && answer.Refusal.RetryAfter > 0)
		tb.setBehaviour("s00.a", tb.counted(answersAfter(work)))
		time.Sleep(answer.Refusal.RetryAfter)
		tb.occupySlots(server, route, 15*time.Millisecond, func() {})
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() { ask("/x/new") })
			time.Sleep(time.Microsecond)
		}
		group.Go(func() { // arrives when the slots have become free, and before the others notice
			time.Sleep(16 * time.Millisecond)
			_, took := ask("/x/new")
			assert.Check(t, took > 2*work, "%v", took)
		})
		_, took := ask("/x/returns")
		assert.Equal(t, took, 2*capacityPollInterval+work)
		group.Wait()
	})
}

// Guards against hedges of the less urgent at a service that is short, and against the loss of
// hedges without a shortage or of those of the most urgent.
func TestBurstOfLeastUrgentSendsNoHedgesToAShortService(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		urgent := tb.shardedRoute(4, 1)
		full := lessUrgent(urgent)
		tb.warmUp(urgent)
		tb.warmUp(full)
		hedges := func() (ofUrgent, ofFull int) {
			tb.setBehaviour("s00.a", tb.counted(answersAfter(100*time.Millisecond)))
			tb.setBehaviour("s00.b", tb.counted(answersAfter(100*time.Millisecond)))
			a, _ := tb.ask(background, urgent)
			time.Sleep(120 * time.Millisecond)
			b, _ := tb.ask(background, full)
			time.Sleep(120 * time.Millisecond)
			return a.Trace.Hedges, b.Trace.Hedges
		}
		ofUrgent, ofFull := hedges()
		assert.Equal(t, ofUrgent, 1)
		assert.Equal(t, ofFull, 1)
		for range 4 {
			tb.engine.shedding.Shortage.RecordPart("s00", true, time.Now())
		}
		ofUrgent, ofFull = hedges()
		assert.Equal(t, ofUrgent, 1)
		assert.Equal(t, ofFull, 0)
	})
}

// Guards against parts that the least urgent may lack and that take capacity of a service that
// is severely short, and against answers that lack more than their route allows.
func TestBurstOfLeastUrgentLeavesOutSpareParts(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		urgent := tb.shardedRoute(20, 0.8)
		full := lessUrgent(urgent)
		tb.warmUp(urgent)
		tb.warmUp(full)
		for range 10 {
			for _, service := range []string{"s03", "s07", "s11"} {
				tb.engine.shedding.Shortage.RecordPart(service, true, time.Now())
			}
		}
		answer, _ := tb.ask(background, urgent)
		assert.Equal(t, answer.Merged.Missing, 0)
		answer, took := tb.ask(background, full)
		assert.DeepEqual(t, answer.Trace.Missing, []string{"s03", "s07"}) // half of the four that it may lack
		assert.Equal(t, answer.Trace.LeftOut, 2)
		assert.Equal(t, took, work)
	})
}

// Guards against hedges that are left out for servers that are slow by themselves: fewer of the
// less urgent requests were in time with it, and no more of the urgent ones.
func TestSlowServersAreNoShortage(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		urgent := tb.shardedRoute(4, 0.5)
		full := lessUrgent(urgent)
		tb.warmUp(urgent)
		tb.warmUp(full)
		for _, id := range []string{"s00.a", "s00.b"} {
			tb.setBehaviour(id, tb.counted(answersAfter(urgent.TargetLatency)))
		}
		for range 8 {
			tb.ask(background, urgent)
			time.Sleep(urgent.TargetLatency)
		}
		assert.Assert(t, tb.engine.shedding.MayHedge("s00", full.Priority, time.Now()))
	})
}
