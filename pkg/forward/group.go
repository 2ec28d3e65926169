package forward

import (
	"context"
	"errors"
	"time"
)

const (
	// acceptShare of the target is the wait for a relay to accept; after it the
	// backend servers are asked directly and can still answer in time.
	acceptShare = 0.25
	// shortestAccept covers a new connection between zones.
	shortestAccept = 28 * time.Millisecond
	// cancelDelay is the time in which a relay notices that it was given up. It hedges
	// only after that, so that a request reaches no third server.
	cancelDelay = 6 * time.Millisecond
	// starvedBy is the delay of a timer that shows that this instance itself got no
	// processor time. The acceptance then mostly waits to be read, and the relay has
	// until the answer is due.
	starvedBy = 5 * time.Millisecond
	// relayMargin is how much earlier than the answer the relay's parts are due:
	// the way there and back.
	relayMargin = 16 * time.Millisecond
	// relaySpare is the part of it that the way back leaves: a part that a relay gets so
	// much after its own cutoff still reaches the sender in time.
	relaySpare = relayMargin / 2
)

// group is a set of legs that one relay answers. Its fields are used by the
// request's goroutine alone.
type group struct {
	zone     string
	relay    Relay
	legs     []*leg
	taken    []bool // legs that have their result
	extra    bool
	began    time.Time
	starved  bool // the wait for the acceptance was extended to the cutoff
	accepted bool
	ended    bool
	cancel   context.CancelFunc
}

// groupEvent is what happens to a group; result and err are nil when it was
// accepted.
type groupEvent struct {
	group  *group
	result *PartsResult
	err    error
}

// enqueue adds a leg to the group for a zone, which sendGroups sends.
func (r *run) enqueue(l *leg, zone string, relay Relay, extra bool, now time.Time) {
	l.arrivals++
	l.running++
	l.last = now
	for _, g := range r.unsent {
		if g.zone == zone && g.extra == extra {
			g.legs = append(g.legs, l)
			return
		}
	}
	r.unsent = append(r.unsent, &group{zone: zone, relay: relay, legs: []*leg{l}, extra: extra, began: now})
}

// sendGroups sends the groups that were put together.
func (r *run) sendGroups() {
	for _, g := range r.unsent {
		r.groups = append(r.groups, g)
		r.sendGroup(g)
	}
	r.unsent = r.unsent[:0]
}

func (r *run) sendGroup(g *group) {
	call := &PartsCall{
		Request:     r.request,
		Route:       r.route.Name,
		Top:         r.route.Top,
		MaxAttempts: max(r.route.MaxAttempts, 1),
		Priority:    r.route.Priority,
		Missable:    r.missable,
		Target:      r.route.Target,
		Cutoff:      r.timing.cutoff.Add(-relayMargin),
		Deadline:    r.timing.deadline,
		HedgeAfter:  r.acceptWait() + cancelDelay,
		Extra:       g.extra,
		Merge:       !g.extra,
	}
	if g.extra {
		call.MaxAttempts = 1
	}
	for _, l := range g.legs {
		call.Services = append(call.Services, l.service)
		call.MaxConnections = append(call.MaxConnections, r.maxConnections(l.service))
		if !g.extra {
			// The relay hedges and the parts come merged.
			l.hedged = true
		}
	}
	g.taken = make([]bool, len(g.legs))
	r.trace.Relayed += len(g.legs)
	ctx, cancel := context.WithCancel(r.ctx)
	g.cancel = cancel
	r.pending.Add(1)
	go func() {
		defer r.release()
		defer cancel()
		send := func(e groupEvent) {
			e.group = g
			deliver(r.ctx, r.groupEvents, e)
		}
		err := g.relay.Gather(ctx, call, func() { send(groupEvent{}) }, func(result *PartsResult) { send(groupEvent{result: result}) })
		if err != nil {
			send(groupEvent{err: err})
		}
	}()
}

// acceptBy is when a group has to be accepted.
func (r *run) acceptBy(g *group) time.Time {
	if g.starved {
		return r.timing.cutoff
	}
	return g.began.Add(r.acceptWait())
}

func (r *run) acceptWait() time.Duration {
	return max(time.Duration(acceptShare*float64(r.route.Target)), shortestAccept)
}

// giveUpGroups asks directly where a relay has not accepted in time.
func (r *run) giveUpGroups(now time.Time) {
	for _, g := range r.groups {
		due := r.acceptBy(g)
		if g.ended || g.accepted || now.Before(due) {
			continue
		}
		if !g.starved && (r.weak || now.Sub(due) > starvedBy) {
			g.starved = true
			if r.weak {
				g.relay.Failed()
			}
			if now.Before(r.timing.cutoff) {
				continue
			}
		}
		g.cancel()
		if g.starved {
			r.endGroup(g, "acceptance of relay not read in time", askedWithHedge)
			continue
		}
		g.relay.Failed()
		r.endGroup(g, "relay did not accept", 1)
	}
}

// endGroup gives up a group without a result. Asked is the number of backend
// servers that the relay may have asked for each leg.
func (r *run) endGroup(g *group, event string, asked int) {
	g.ended = true
	for i, l := range g.legs {
		if g.taken[i] {
			continue
		}
		l.running--
		l.direct = true
		l.mayRun = l.mayRun || asked > 0
		if asked == 0 {
			r.unsend(l)
		} else {
			l.arrivals += asked - 1
		}
		if !g.extra {
			// The relay counts a request that it answers; this one falls to this instance.
			r.engine.budget.Request(l.service, time.Now())
		}
		r.relaunch(l, Trouble{Server: g.relay.ID(), Event: event, Took: time.Since(g.began)})
	}
}

// relaunch asks directly for a leg that a relay has not answered.
func (r *run) relaunch(l *leg, t Trouble) {
	if l.decided() {
		return
	}
	r.trouble(l, t)
	if !r.launch(l, retry) && l.running == 0 && !r.askAgain(l) {
		r.lose(l)
	}
}

// absorbGroup takes an event of a group into account.
func (r *run) absorbGroup(e groupEvent) {
	g := e.group
	switch {
	case g.ended:
	case e.err != nil:
		r.endGroup(g, "relay failed: "+e.err.Error(), r.askedBy(g, e.err))
	case e.result == nil:
		g.accepted = true
	default:
		r.absorbParts(g, e.result)
	}
}

// askedWithHedge is the number of servers that a relay may have asked for a leg
// after its hedge delay.
const askedWithHedge = 2

// askedBy is the number of servers that a relay may have asked for each leg when
// its call failed.
func (r *run) askedBy(g *group, err error) int {
	var call *CallError
	switch {
	case errors.As(err, &call) && !call.Sent:
		return 0
	case !g.extra && time.Since(g.began) >= r.timing.hedge:
		return askedWithHedge
	default:
		return 1
	}
}

func (r *run) absorbParts(g *group, result *PartsResult) {
	if len(result.Body) > 0 {
		r.merged = append(r.merged, result.Body)
	}
	for _, part := range result.Parts {
		l := g.take(part.Index)
		if l == nil {
			continue
		}
		l.running--
		if l.decided() {
			continue
		}
		l.reply = &Reply{Proof: part.Proof, Body: part.Body}
		l.settled.Store(true)
		r.have++
	}
	if result.Final {
		r.finishGroup(g, result)
	}
}

// finishGroup asks directly for the shards that the relay has not answered.
func (r *run) finishGroup(g *group, result *PartsResult) {
	g.ended = true
	r.trace.Attempts += result.Attempts
	r.trace.Hedges += result.Hedges
	r.trace.Retries += result.Retries
	for _, p := range result.Lost {
		l := g.take(p.Index)
		if l == nil {
			continue
		}
		l.running--
		l.direct = true
		l.arrivals += p.Arrivals - 1
		l.mayRun = l.mayRun || p.MayRun
		l.tried = append(l.tried, p.Again...)
		l.again = append(l.again, p.Again...)
		if p.Arrivals == 0 && g.extra {
			r.refund(l)
		}
		r.relaunch(l, Trouble{Server: g.relay.ID(), Event: "no part from relay", Took: time.Since(g.began), Detail: p.Event})
	}
}

// take returns a leg at its first result and nil afterwards.
func (g *group) take(index int) *leg {
	if index < 0 || index >= len(g.legs) || g.taken[index] {
		return nil
	}
	g.taken[index] = true
	return g.legs[index]
}
