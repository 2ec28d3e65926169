package forward

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/gather"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// Gather answers another instance's call for parts and passes them to emit. It
// returns false when ctx ends before the final result.
func (e *Engine) Gather(ctx context.Context, call *PartsCall, emit func(*PartsResult)) bool {
	route := &routing.Route{
		Name:        call.Route,
		Repeatable:  true,
		Target:      call.Target,
		Priority:    call.Priority,
		MaxAttempts: call.MaxAttempts,
		Shards:      call.Services,
		Top:         call.Top,
	}
	connections := make(map[string]int, len(call.Services))
	for i, service := range call.Services {
		if i < len(call.MaxConnections) {
			connections[service] = call.MaxConnections[i]
		}
	}
	r := newRun(e, route, call.Request, func(service string) int { return connections[service] })
	defer r.release()
	defer r.settle()
	r.relayed = true
	r.paid = call.Extra
	r.missable = call.Missable
	r.timing.deadline = call.Deadline
	r.timing.cutoff = call.Cutoff
	r.timing.spare = relaySpare
	r.timing.hedge = max(r.timing.hedge, call.HedgeAfter)
	if !call.Cutoff.After(time.Now()) {
		r.timing.cutoff = call.Deadline
	}
	mergeUntil := call.Request.Arrived.Add(r.timing.hedge)
	if r.timing.cutoff.Before(mergeUntil) {
		mergeUntil = r.timing.cutoff
	}
	r.wakeAt = mergeUntil
	g := &gathering{run: r, call: call, emit: emit, sent: make([]bool, len(r.legs)), mergeUntil: mergeUntil}
	return r.loop(ctx, g.step)
}

// gathering sends the parts of a run to the instance that has asked for them.
type gathering struct {
	run  *run
	call *PartsCall
	emit func(*PartsResult)
	sent []bool // by leg
	// mergeUntil is when the parts that are there are sent. By then all but the slow
	// ones are, and these must not hold up the others.
	mergeUntil time.Time
	cut        bool // mergeUntil has passed, parts are sent as they come
}

// step sends what is due and reports whether that was all. Parts that are merged
// wait for each other for a while; all others are sent as they come.
func (g *gathering) step(now time.Time) bool {
	r := g.run
	ended := !now.Before(r.timing.deadline)
	final := ended || r.have+r.lost == len(r.legs)
	merge := g.call.Merge && !g.cut
	cutNow := merge && !now.Before(g.mergeUntil)
	if merge && !final && !cutNow {
		return false
	}
	g.cut = g.cut || cutNow
	result := g.collect(merge)
	if final {
		g.finish(result)
	}
	if final || len(result.Parts) > 0 {
		g.emit(result)
	}
	return final
}

// collect takes the parts that have not been sent yet.
func (g *gathering) collect(merge bool) *PartsResult {
	result := &PartsResult{}
	var bodies [][]byte
	for i, l := range g.run.legs {
		if l.reply == nil || g.sent[i] {
			continue
		}
		g.sent[i] = true
		part := Part{Index: i, Proof: l.reply.Proof}
		if merge {
			bodies = append(bodies, l.reply.Body)
		} else {
			part.Body = gather.Merge([][]byte{l.reply.Body}, g.call.Top)
		}
		result.Parts = append(result.Parts, part)
	}
	if merge {
		result.Body = gather.Merge(bodies, g.call.Top)
	}
	return result
}

func (g *gathering) finish(result *PartsResult) {
	r := g.run
	result.Final = true
	result.Troubles = r.trace.Troubles
	result.Attempts, result.Hedges, result.Retries = r.trace.Attempts, r.trace.Hedges, r.trace.Retries
	for i, l := range r.legs {
		if l.reply != nil {
			continue
		}
		lost := LostPart{Index: i, Arrivals: l.arrivals, MayRun: l.mayRun || l.running > 0, Again: l.again, Event: "still running"}
		switch {
		case l.lost && l.arrivals == 0:
			lost.Event = "no backend server had room"
		case l.lost:
			lost.Event = "no backend server answered"
		}
		result.Lost = append(result.Lost, lost)
	}
}
