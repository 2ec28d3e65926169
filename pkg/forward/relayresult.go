package forward

import (
	"errors"
	"time"
)

// handleRelayEvent applies an event to its call; events of an ended call are ignored.
func (r *activeRequest) handleRelayEvent(e relayEvent) {
	rc := e.call
	switch {
	case rc.ended:
	case e.err != nil:
		r.abandonRelayCall(rc, "relay failed: "+e.err.Error(), r.maxServersAsked(rc, e.err))
	case e.result == nil:
		rc.accepted = true
	default:
		r.handleParts(rc, e.result)
	}
}

// serversAskedWithHedge is the number of servers that a relay may have asked for a shard
// after its hedge delay.
const serversAskedWithHedge = 2

// maxServersAsked returns how many servers a relay may have asked for each shard when the
// call to it failed with err.
func (r *activeRequest) maxServersAsked(rc *relayCall, err error) int {
	var call *CallError
	switch {
	case errors.As(err, &call) && !call.Sent:
		return 0
	case !rc.extra && time.Since(rc.started) >= r.timing.hedgeDelay:
		return serversAskedWithHedge
	default:
		return 1
	}
}

func (r *activeRequest) handleParts(rc *relayCall, result *PartsResult) {
	now := time.Now()
	if len(result.Parts) > 0 {
		r.crashes.recordReply(now)
	}
	if result.Suspect != nil {
		r.crashes.merge(*result.Suspect)
	}
	if len(result.Body) > 0 {
		r.mergedBodies = append(r.mergedBodies, result.Body)
	}
	for _, part := range result.Parts {
		s := rc.resolve(part.Index)
		if s == nil {
			continue
		}
		s.inFlight--
		r.recordRelayed(rc, s, true)
		if rc.sampled {
			r.engine.tracker.RecordRelayedTime(s.service, rc.zone, r.route.Name, now.Sub(rc.started), now)
		}
		if s.isComplete() {
			continue
		}
		s.reply = &Reply{Proof: part.Proof, Body: part.Body}
		s.withdrawUnsent()
		r.answeredShards++
		r.stages.recordPart(time.Now())
	}
	if result.Final {
		r.finishRelayCall(rc, result)
	}
}

// finishRelayCall ends a call with its final result and asks directly for the shards that
// the relay has not answered.
func (r *activeRequest) finishRelayCall(rc *relayCall, result *PartsResult) {
	rc.ended = true
	r.trace.Attempts += result.Attempts
	r.trace.Hedges += result.Hedges
	r.trace.Retries += result.Retries
	for _, lost := range result.Lost {
		s := rc.resolve(lost.Index)
		if s == nil {
			continue
		}
		s.inFlight--
		r.recordRelayed(rc, s, false)
		s.directOnly = true
		s.arrivals += lost.Arrivals - 1
		s.mayHaveRun = s.mayHaveRun || lost.MayRun
		s.tried = append(s.tried, lost.ExpiredServers...)
		s.expiredServers = append(s.expiredServers, lost.ExpiredServers...)
		if lost.Arrivals == 0 && rc.extra {
			r.refund(s)
		}
		r.askDirectly(s, AttemptEvent{Server: rc.relay.ID(), Event: "no part from relay", Took: time.Since(rc.started), Detail: lost.Event})
	}
}

// recordRelayed records whether a zone has delivered a part before the cutoff. Hedges do not
// count: they start late.
func (r *activeRequest) recordRelayed(rc *relayCall, s *shardRequest, delivered bool) {
	if now := time.Now(); !rc.extra {
		r.engine.tracker.RecordRelayed(s.service, rc.zone, delivered && now.Before(r.timing.cutoff), now)
	}
}

// recordMissingParts records the parts that relays still lack when the answer goes out.
func (r *activeRequest) recordMissingParts(now time.Time) {
	if now.Before(r.timing.cutoff) {
		return
	}
	for _, rc := range r.relayCalls {
		for i, s := range rc.shardRequests {
			if rc.accepted && !rc.ended && !rc.resolved[i] {
				r.recordRelayed(rc, s, false)
			}
		}
	}
}

// resolve returns the shard request for the first result with this index, and nil for
// later results and for an index that the call does not have.
func (rc *relayCall) resolve(index int) *shardRequest {
	if index < 0 || index >= len(rc.shardRequests) || rc.resolved[index] {
		return nil
	}
	rc.resolved[index] = true
	return rc.shardRequests[index]
}
