package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const oneWay = 5 * time.Millisecond // between zones

// peer is another instance: an engine in the other zone over the same servers.
type peer struct {
	engine  *Engine
	calls   int
	failed  int
	silent  bool // it never accepts
	breaks  bool // it is killed after it has accepted
	refused error
}

// addPeer puts an instance into the other zone.
func (w *world) addPeer() *peer {
	engine := New(Config{
		Directory: w.directory,
		Tracker:   replicas.New(there, ignoreChange),
		Budget:    w.budget,
		Caller:    w,
		Zone:      there,
		Relays:    noRelays{},
		Sharing:   w,
		Observe:   w.observe,
	})
	p := &peer{engine: engine}
	w.relays[there] = p
	return p
}

type noRelays struct{}

func (noRelays) Pick(string) Relay { return nil }
func (noRelays) Stronger() Relay   { return nil }

func (p *peer) ID() string { return "peer" }
func (p *peer) Failed()    { p.failed++ }

func (p *peer) Gather(ctx context.Context, call *PartsCall, accepted func(), receive func(*PartsResult)) error {
	p.calls++
	time.Sleep(oneWay)
	switch {
	case p.refused != nil:
		return p.refused
	case p.silent:
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(oneWay)
	accepted()
	if p.breaks {
		return errors.New("connection lost")
	}
	request := *call.Request
	request.Arrived = time.Now()
	received := *call
	received.Request = &request
	if !p.engine.Gather(ctx, &received, receive) {
		return ctx.Err()
	}
	return nil
}

// onlyThere is a sharded route whose servers all are in the other zone.
func (w *world) onlyThere(n int) *routing.Route {
	route := w.sharded(n, 0.89)
	for _, service := range route.Shards {
		w.directory.Remove(service + ".a")
	}
	time.Sleep(10 * time.Second)
	return route
}

// The pattern: an instance in a zone without backend servers. Guards against a
// message between zones for each shard.
func TestShardsOfAnotherZoneAreAskedThroughOneInstance(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.onlyThere(20)
		p := w.addPeer()
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Equal(t, len(answer.Merged.Proofs), 20)
		assert.Equal(t, len(answer.Merged.Body), 10*16)
		assert.Equal(t, took, 2*oneWay+work)
		assert.Equal(t, p.calls, 1)
		assert.Equal(t, w.arrived(), 20)
	})
}

// The pattern: one shard is slow in the other zone. Guards against the parts of all
// other shards waiting for it, and against records that count twice.
func TestSlowShardDoesNotHoldUpTheOthers(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.onlyThere(20)
		route.Top = 40
		w.addPeer()
		w.set("s03.b", w.counted(answersAfter(100*time.Millisecond)))
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Equal(t, len(answer.Merged.Body), 20*16)
		assert.Assert(t, took < route.Target, "took %v", took)
	})
}

// Guards against failures where a relay's parts come after the target: they are
// late, not lost.
func TestLatePartsOfARelayStillCount(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.onlyThere(20)
		w.addPeer()
		for _, id := range []string{"s01.b", "s02.b", "s03.b"} {
			w.set(id, w.counted(answersAfter(300*time.Millisecond)))
		}
		answer, took := w.ask(background, route)
		assert.Assert(t, answer.Merged != nil)
		assert.Assert(t, took < 400*time.Millisecond, "took %v", took)
	})
}

// The pattern: an instance is frozen or cut off. Guards against waiting for it: the
// servers are asked directly in time for the target.
func TestSilentRelayIsGivenUp(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.onlyThere(10)
		p := w.addPeer()
		p.silent = true
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Assert(t, took < route.Target, "took %v", took)
		assert.Equal(t, p.failed, 1)
	})
}

// Guards against parts that are lost or count twice when a relay is killed at work.
func TestKilledRelayIsReplaced(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.onlyThere(10)
		w.addPeer().breaks = true
		answer, took := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Equal(t, len(answer.Merged.Proofs), 10)
		assert.Assert(t, took < route.Target, "took %v", took)
	})
}

// Guards against more servers for a shard than the route allows when a connection to
// a relay breaks: the relay may have asked one, and after the hedge delay two.
func TestBrokenRelayMayHaveAskedServers(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.onlyThere(10)
		w.addServer("s03", "s03.c", there)
		w.addPeer().refused = errors.New("connection lost")
		for _, id := range []string{"s03.b", "s03.c"} {
			w.set(id, w.counted(refuses))
		}
		answer, _ := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 1)
		// One attempt may have been the relay's, so that one is left.
		assert.Equal(t, w.arrived(), 10)
	})
}

// Guards against an attempt that counts as extra load when the relay was never
// reached.
func TestUnreachableRelayCostsNoBudget(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.onlyThere(10)
		w.addPeer().refused = &CallError{Detail: "connection refused"}
		left := w.budget.Left("s03", time.Now())
		answer, _ := w.ask(background, route)
		assert.Equal(t, answer.Merged.Missing, 0)
		assert.Assert(t, w.budget.Left("s03", time.Now()) >= left)
	})
}

// Guards against relays that relay to each other: a relay's receiver asks servers
// itself.
func TestRelayAsksServersItself(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(5, 0.89)
		p := w.addPeer()
		call := &PartsCall{
			Request:     &Request{ID: "id", Arrived: time.Now()},
			Services:    route.Shards,
			Top:         10,
			MaxAttempts: 1,
			Target:      route.Target,
			Cutoff:      time.Now().Add(100 * time.Millisecond),
			Deadline:    time.Now().Add(time.Second),
			Extra:       true,
		}
		for _, service := range route.Shards {
			w.directory.Remove(service + ".a")
		}
		var parts []Part
		assert.Assert(t, w.engine.Gather(background, call, func(r *PartsResult) { parts = append(parts, r.Parts...) }))
		assert.Equal(t, len(parts), 5)
		assert.Equal(t, p.calls, 0)
	})
}

// Guards against starting work that was given up while it waited to be accepted.
func TestGivenUpCallStartsNothing(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(5, 0.89)
		ctx, cancel := context.WithCancel(background)
		cancel()
		call := &PartsCall{Request: &Request{Arrived: time.Now()}, Services: route.Shards, MaxAttempts: 2, Target: route.Target, Deadline: time.Now().Add(time.Second)}
		assert.Assert(t, !w.engine.Gather(ctx, call, func(*PartsResult) {}))
		assert.Equal(t, w.arrived(), 0)
	})
}

// Guards against connections beyond what a server accepts: the shares of all
// instances together stay within it.
func TestConnectionSharesStayWithinTheServersLimit(t *testing.T) {
	for _, size := range []struct{ zones, perZone, accepted int }{{3, 2, 26}, {3, 3, 26}, {1, 1, 10}, {3, 22, 450}} {
		e := &Engine{zone: here, sharing: sizes{all: size.zones * size.perZone, zone: size.perZone}}
		local := e.Connections(size.accepted, &directory.Server{BackendServer: serverIn(here)})
		remote := e.Connections(size.accepted, &directory.Server{BackendServer: serverIn(there)})
		total := local*size.perZone + remote*(size.zones-1)*size.perZone
		// After a loss of power the server holds those of the runs before as well.
		assert.Assert(t, 2*total <= size.accepted, "%+v: %d", size, total)
	}
}

// The pattern: this instance gets no processor time for some tens of milliseconds.
// Guards against giving up a relay whose acceptance only waits to be read: requests
// ran on three servers of a shard where two are allowed.
func TestStarvedInstanceDoesNotGiveUpItsRelay(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.onlyThere(3)
		request := &Request{ID: "id", Arrived: time.Now()}
		r := newRun(w.engine, route, request, func(string) int { return 0 })
		defer r.release()
		p := w.addPeer()
		g := &group{zone: there, relay: p, legs: r.legs, began: time.Now(), taken: make([]bool, 3), cancel: func() {}}
		r.groups = append(r.groups, g)
		for _, l := range r.legs {
			l.arrivals, l.running = 1, 1 // as enqueue counts them
		}
		due := r.acceptBy(g)
		r.giveUpGroups(due.Add(starvedBy + time.Millisecond))
		assert.Assert(t, g.starved && !g.ended)
		r.giveUpGroups(r.timing.cutoff)
		assert.Assert(t, g.ended)
		assert.Equal(t, p.failed, 0)
		for _, l := range r.legs {
			assert.Equal(t, l.arrivals, askedWithHedge)
		}
		assert.Equal(t, w.arrived(), 0)
	})
}

// The same pattern while a relay asks many servers. Guards against hedges for replies
// that only wait to be read.
func TestStarvedInstancePutsOffItsHedges(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(3, 0.5)
		r := newRun(w.engine, route, &Request{ID: "id", Arrived: time.Now()}, func(string) int { return 0 })
		defer r.release()
		for _, l := range r.legs {
			r.launch(l, first)
		}
		late := r.legs[0].last.Add(r.timing.hedge + starvedBy + time.Millisecond)
		r.hedge(late)
		assert.Equal(t, r.trace.Hedges, 0)
		r.hedge(late.Add(starvedBy))
		assert.Equal(t, r.trace.Hedges, 3)
	})
}

// Guards against a third server of a shard: a relay does not hedge while its sender
// may still give it up and ask a server itself.
func TestRelayHedgesAfterItCanBeGivenUp(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.onlyThere(10)
		w.settle(route)
		w.addServer("s03", "s03.c", there)
		w.addPeer()
		at := make(chan time.Time, 2)
		for _, id := range []string{"s03.b", "s03.c"} {
			w.set(id, func(ctx context.Context, call Call) (*Reply, error) {
				at <- time.Now()
				return answersAfter(70*time.Millisecond)(ctx, call)
			})
		}
		w.ask(background, route)
		first := <-at
		hedged := (<-at).Sub(first)
		wait := time.Duration(acceptShare * float64(route.Target))
		assert.Assert(t, hedged >= wait+cancelDelay, "hedged after %v", hedged)
	})
}

// The pattern: a weak instance, whose stronger neighbour is slow to accept. Guards
// against asking the servers itself as well: it would be late and reach third servers.
func TestWeakInstanceKeepsItsRelay(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(5, 0.89)
		p := w.addPeer()
		w.relays[here], w.relays[there] = p, nil
		p.silent = true
		answer, took := w.ask(background, route)
		assert.Assert(t, answer.Refusal != nil)
		assert.Assert(t, took <= route.Target, "took %v", took)
		assert.Equal(t, w.arrived(), 0)
		assert.Equal(t, p.failed, 1)
	})
}
