package forward

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/gather"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// Gather executes another instance's call for parts and passes the results to emit. It
// returns false if ctx ends before the final result.
func (e *Engine) Gather(ctx context.Context, call *PartsCall, emit func(*PartsResult)) bool {
	route := &routing.Route{
		Name:          call.Route,
		Repeatable:    true,
		TargetLatency: call.Target,
		Priority:      call.Priority,
		MaxAttempts:   call.MaxAttempts,
		Shards:        call.Services,
		TopK:          call.Top,
	}
	connections := make(map[string]int, len(call.Services))
	for i, service := range call.Services {
		if i < len(call.MaxConnections) {
			connections[service] = call.MaxConnections[i]
		}
	}
	r := newActiveRequest(e, route, call.Request, func(service string) int { return connections[service] })
	defer r.release()
	defer r.markNoLongerNeeded()
	r.restrictTo(call.Zones)
	r.servesPeer, r.crashes.servesPeer = true, true
	r.chargedBySender = call.ChargedBySender
	r.maxMissingShare = call.MaxMissingShare
	if !call.SameZone {
		r.zoneDraw = 1 // a sender in another zone has decided on this one
	}
	r.timing.deadline = call.Deadline
	r.timing.cutoff = call.Cutoff
	r.timing.grace = relayGrace
	r.timing.hedgeDelay = max(r.timing.hedgeDelay, call.HedgeAfter)
	if !call.Cutoff.After(time.Now()) {
		r.timing.cutoff = call.Deadline
	}
	mergeUntil := call.Request.Arrived.Add(r.timing.hedgeDelay)
	if r.timing.cutoff.Before(mergeUntil) {
		mergeUntil = r.timing.cutoff
	}
	r.wakeAt = mergeUntil
	p := &partsSender{request: r, call: call, emit: emit, sent: make([]bool, len(r.shardRequests)), mergeUntil: mergeUntil}
	if !r.loop(ctx, p.sendDue) {
		r.requestEnded() // the sender has no final result and thus does not know of the losses
		return false
	}
	r.crashes.leaveToSender()
	return true
}

// partsSender sends the parts of a request to the instance that has asked for them.
type partsSender struct {
	request *activeRequest
	call    *PartsCall
	emit    func(*PartsResult)
	sent    []bool // by index of the shard request
	// mergeUntil is when the parts that have arrived are merged and sent. Only slow parts
	// are still missing by then, and they must not delay the others.
	mergeUntil time.Time
	mergeEnded bool // mergeUntil has passed; later parts are sent as they arrive
}

// sendDue sends the parts that are due and reports whether the result was final. Parts that
// are to be merged wait for each other until mergeUntil; others are sent as they arrive.
func (p *partsSender) sendDue(now time.Time) bool {
	r := p.request
	ended := !now.Before(r.timing.deadline)
	final := ended || r.answeredShards+r.lostShards == len(r.shardRequests)
	merge := p.call.Merge && !p.mergeEnded
	mergeEndsNow := merge && !now.Before(p.mergeUntil)
	if merge && !final && !mergeEndsNow {
		return false
	}
	p.mergeEnded = p.mergeEnded || mergeEndsNow
	result := p.unsentParts(merge)
	if final {
		p.finish(result)
	}
	if final || len(result.Parts) > 0 {
		p.emit(result)
	}
	return final
}

// unsentParts returns the parts that have not been sent yet and marks them as sent.
func (p *partsSender) unsentParts(merge bool) *PartsResult {
	result := &PartsResult{}
	var bodies [][]byte
	for i, s := range p.request.shardRequests {
		if s.reply == nil || p.sent[i] {
			continue
		}
		p.sent[i] = true
		part := Part{Index: i, Proof: s.reply.Proof}
		if merge {
			bodies = append(bodies, s.reply.Body)
		} else {
			part.Body = gather.Merge([][]byte{s.reply.Body}, p.call.Top)
		}
		result.Parts = append(result.Parts, part)
	}
	if merge {
		result.Body = gather.Merge(bodies, p.call.Top)
	}
	return result
}

func (p *partsSender) finish(result *PartsResult) {
	r := p.request
	result.Final = true
	result.Suspect = r.crashes.suspect(time.Now())
	result.Events = r.trace.Events
	result.Attempts, result.Hedges, result.Retries = r.trace.Attempts, r.trace.Hedges, r.trace.Retries
	for i, s := range r.shardRequests {
		if s.reply != nil {
			continue
		}
		lost := LostPart{Index: i, Arrivals: s.arrivals, MayRun: s.mayHaveRun || s.inFlight > 0, ExpiredServers: s.expiredServers, Event: "still running"}
		switch {
		case s.lost && s.arrivals == 0:
			lost.Event = "no backend server had room"
		case s.lost:
			lost.Event = "no backend server answered"
		}
		result.Lost = append(result.Lost, lost)
	}
}
