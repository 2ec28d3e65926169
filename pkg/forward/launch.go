package forward

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
)

// purpose is why an attempt is made.
type purpose int

const (
	first purpose = iota
	hedge         // the attempt before is slow
	retry         // the attempt before failed
)

// result is the end of an attempt.
type result struct {
	leg    int
	server *directory.Server
	began  time.Time
	// expired is set when the server has stopped work on a part because it was told
	// that a later reply is of no use.
	expired bool
	reply   *Reply
	err     *CallError // when reply is nil
}

// launch starts an attempt and reports whether it did.
func (r *run) launch(l *leg, why purpose) bool {
	now := time.Now()
	if !r.mayLaunch(l, why, now) {
		return false
	}
	choice, ok := r.choose(l, now)
	if !ok || why == hedge && (choice.Paused || choice.Full || choice.Ejected || r.late(choice, now)) {
		return false
	}
	if r.mustWait(l, choice, why, now) {
		if !l.waits {
			r.trouble(l, Trouble{Server: choice.Server.ID, Event: "waits for room"})
		}
		l.waits = true
		return true
	}
	l.waits = false
	if l.arrivals == 0 && !r.paid {
		r.startFirst(l, choice, why, now)
		return true
	}
	if !r.paid && !r.spend(l, now) {
		return false
	}
	r.startExtra(l, choice, why, now)
	return true
}

// startFirst starts an attempt before which no server has been reached. It earns
// budget where it is executed: here, or at the relay that it is handed to.
func (r *run) startFirst(l *leg, choice replicas.Choice, why purpose, now time.Time) {
	if !l.counted {
		l.counted = true
		if zone, relay := r.relayFor(l, choice.Server, why); relay != nil {
			r.enqueue(l, zone, relay, false, now)
			return
		}
		r.engine.budget.Request(l.service, now)
	}
	r.begin(l, choice, now)
	r.countExtra(l, why, choice.Server.ID)
}

// startExtra starts an attempt beyond the first, which is paid for.
func (r *run) startExtra(l *leg, choice replicas.Choice, why purpose, now time.Time) {
	if zone, relay := r.relayFor(l, choice.Server, why); relay != nil {
		l.tried = append(l.tried, choice.Server.ID)
		r.countExtra(l, why, relay.ID())
		r.enqueue(l, zone, relay, true, now)
		return
	}
	r.begin(l, choice, now)
	r.countExtra(l, why, choice.Server.ID)
}

// spend charges one more attempt of a leg to the budget.
func (r *run) spend(l *leg, now time.Time) bool {
	if !r.engine.budget.Spend(l.service, now) {
		r.trace.Denied++
		r.trouble(l, Trouble{Event: "extra attempt denied by the budget"})
		return false
	}
	l.extras++
	return true
}

// unsend takes back an attempt that has reached no server: it neither counts as
// an attempt nor as load.
func (r *run) unsend(l *leg) {
	l.arrivals--
	r.refund(l)
}

func (r *run) refund(l *leg) {
	if l.extras > 0 {
		l.extras--
		r.engine.budget.Return(l.service, time.Now())
	}
}

func (r *run) countExtra(l *leg, why purpose, target string) {
	switch why {
	case hedge:
		r.trace.Hedges++
		r.trouble(l, Trouble{Server: target, Event: "hedged"})
	case retry:
		r.trace.Retries++
	}
}

// relayFor returns an instance near the server when the way there leads to
// another zone, or a stronger one of this zone when this instance is weak. A relay
// relays only its hedges again, whose receivers relay nothing, so that differing
// views cannot send a request in circles.
func (r *run) relayFor(l *leg, server *directory.Server, why purpose) (string, Relay) {
	if !r.route.Sharded() || l.direct || r.paid || r.relayed && why == first || why == retry {
		return "", nil
	}
	if server.Zone == r.engine.zone {
		if why != first {
			return "", nil
		}
		if g := r.unsentFor(server.Zone); g != nil {
			return g.zone, g.relay
		}
		stronger := r.engine.relays.Stronger()
		r.weak = r.weak || stronger != nil
		return server.Zone, stronger
	}
	zone := server.Zone
	if why == first && r.relayZone != "" && hasServerIn(l.servers, r.relayZone) {
		zone = r.relayZone
	}
	if g := r.unsentFor(zone); g != nil {
		return zone, g.relay
	}
	relay := r.engine.relays.Pick(zone)
	if relay != nil && why == first && r.relayZone == "" {
		// The other shards without a server here go the same way.
		r.relayZone = zone
	}
	return zone, relay
}

// unsentFor returns the group for a zone that is being put together.
func (r *run) unsentFor(zone string) *group {
	for _, g := range r.unsent {
		if g.zone == zone {
			return g
		}
	}
	return nil
}

func hasServerIn(servers []*directory.Server, zone string) bool {
	for _, s := range servers {
		if s.Zone == zone {
			return true
		}
	}
	return false
}

func (r *run) mayLaunch(l *leg, why purpose, now time.Time) bool {
	if !now.Before(r.timing.deadline) || l.arrivals >= max(r.route.MaxAttempts, 1) {
		return false
	}
	if why != first && r.tooLate(l, now) {
		return false
	}
	return why == first || r.route.Repeatable || !l.mayRun && l.running == 0
}

// tooLate reports whether a further attempt cannot be in the answer, because
// that goes out before its reply can be there. One that can be repeated when the answer
// is due, and then has the whole time, is not made shortly before.
func (r *run) tooLate(l *leg, now time.Time) bool {
	if !r.route.Sharded() || r.have < r.route.RequiredShards() && (len(l.again) == 0 || !now.Before(r.timing.cutoff)) {
		return false
	}
	return now.Add(r.engine.usual(r.route) / 2).After(r.timing.cutoff)
}

// choose prefers servers that stay over those that leave.
func (r *run) choose(l *leg, now time.Time) (replicas.Choice, bool) {
	choice, ok := r.engine.tracker.Choose(l.servers, r.route.Name, l.wasTried, now)
	if ok {
		return choice, true
	}
	return r.engine.tracker.Choose(r.engine.directory.LastResort(l.service), r.route.Name, l.wasTried, now)
}

func (r *run) begin(l *leg, choice replicas.Choice, now time.Time) {
	server := choice.Server
	l.tried = append(l.tried, server.ID)
	l.arrivals++
	l.running++
	l.last = now
	r.trace.Attempts++
	r.pending.Add(1)
	due := r.timing.usefulUntil(r.route, now)
	until := due
	if r.mustFinish(l, choice, now) {
		until = r.timing.deadline
	}
	call := Call{
		Request:     r.request,
		Server:      server,
		Connections: r.engine.connections(r.maxConnections(l.service), server.Zone),
		Fresh:       !r.route.Repeatable,
		Until:       until,
		Needed:      func() bool { return !l.settled.Load() },
	}
	observed := r.engine.tracker.Begin(server, r.route.Name, now, r.wantedBy(due, now))
	go r.attempt(l.index, call, observed, now)
}

// wantedBy is when the reply to an attempt that starts now is due; one that is late
// anyway is not judged by its time.
func (r *run) wantedBy(due, now time.Time) time.Time {
	if r.route.Sharded() && !now.Before(r.timing.cutoff) {
		return now
	}
	return due
}

// mustFinish reports whether a server has to work on a part also when the answer was due
// before. That is so when answers go out late anyway, because more shards than they may
// lack are late, and the server is slow also with little work or the budget might not
// allow to ask again. A server that has too much work could be in time with less.
func (r *run) mustFinish(l *leg, choice replicas.Choice, now time.Time) bool {
	if !r.route.Sharded() || r.engine.lateness.share(r.route.Name, now) <= r.missable {
		return false
	}
	return choice.Slow || choice.Expected == 0 && !r.engine.mayAskAgain(l.service, now)
}

// attempt runs in its own goroutine, also after the request has its answer.
func (r *run) attempt(index int, call Call, observed *replicas.Attempt, began time.Time) {
	defer r.release()
	reply, err := r.engine.caller.Call(r.ctx, call)
	res := result{leg: index, server: call.Server, began: began, reply: reply}
	if err != nil && !errors.As(err, &res.err) {
		res.err = &CallError{Sent: true, Detail: "call failed", Cause: err}
	}
	now := time.Now()
	res.expired = r.route.Sharded() && reply != nil && !reply.success() && !reply.Misplaced && !now.Before(call.Until)
	observed.End(outcomeOf(&res, r.ctx.Err()), now)
	deliver(r.ctx, r.results, res)
}

// deliver passes on what a request is told unless its time is over: then nothing
// reads the channel any more.
func deliver[T any](ctx context.Context, to chan<- T, what T) {
	select {
	case to <- what:
		return
	default:
	}
	select {
	case to <- what:
	case <-ctx.Done():
	}
}

func outcomeOf(res *result, ended error) replicas.Outcome {
	reply := res.reply
	switch {
	case res.expired:
		return replicas.Expired
	case reply != nil && reply.Misplaced:
		return replicas.Misplaced
	case reply != nil && reply.NotRun:
		return replicas.Refused
	case reply != nil && reply.Status < 500:
		return replicas.Answered
	case reply == nil && ended != nil:
		return replicas.Abandoned
	default:
		return replicas.Failed
	}
}

// hedge starts second attempts where the first ones are slow.
func (r *run) hedge(now time.Time) {
	if !r.route.Repeatable {
		return
	}
	for _, l := range r.legs {
		due := l.last.Add(r.timing.hedge)
		if l.decided() || l.hedged || l.waits || now.Before(due) {
			continue
		}
		if now.Sub(due) > starvedBy && !l.postponed {
			// This instance got no processor time; the reply may wait to be read.
			l.postponed = true
			l.last = now.Add(starvedBy - r.timing.hedge)
			continue
		}
		l.hedged = true
		r.launch(l, hedge)
	}
}

func (r *run) trouble(l *leg, t Trouble) {
	t.Service = l.service
	t.After = time.Since(r.request.Arrived)
	r.trace.add(t)
}
