package forward

import (
	"context"
	"time"
)

const (
	// acceptanceShare is the share of the target that a relay has to accept a call. After
	// it the backend servers are asked directly and can still answer in time.
	acceptanceShare = 0.25
	// minAcceptanceTimeout allows for opening a connection between zones.
	minAcceptanceTimeout = 28 * time.Millisecond
	// cancelDelay is the time until a relay notices that its sender has given up the
	// call. The relay hedges only after that: with the sender asking a server directly,
	// an earlier hedge would send the request to a third server.
	cancelDelay = 6 * time.Millisecond
	// starvationDelay is how late a timer has to fire to show that this instance itself
	// got no processor time. The relay's acceptance has then usually arrived and waits to
	// be read, so the relay gets until the cutoff.
	starvationDelay = 5 * time.Millisecond
	// relayMargin is how much earlier than the sender's cutoff the relay's cutoff is. It
	// covers the way to the relay and back.
	relayMargin = 16 * time.Millisecond
	// sameZoneRelayMargin is relayMargin for a relay in the sender's own availability zone, where
	// the way takes well under a millisecond.
	sameZoneRelayMargin = relayMargin / 2
	// relayGrace is the part of relayMargin that the way back does not need: a part that
	// reaches the relay this long after the relay's cutoff still reaches the sender in time.
	relayGrace = relayMargin / 2
)

// relayCall is one call to a relay for the parts of several shards. Only the goroutine of
// the request changes its fields.
type relayCall struct {
	zone          string
	relay         Relay
	shardRequests []*shardRequest
	resolved      []bool // by index of shardRequests: its part has arrived or is lost
	extra         bool   // hedges, which are charged to the budget
	sampled       bool   // the parts come one by one, and their times are recorded
	started       time.Time
	extended      bool // the acceptance timeout was extended to the cutoff
	kept          bool // the relay is not given up before the cutoff
	accepted      bool
	ended         bool
	cancel        context.CancelFunc
}

// relayEvent reports the progress of a relay call. Both result and err are nil when the
// relay has accepted the call.
type relayEvent struct {
	call   *relayCall
	result *PartsResult
	err    error
}

// enqueue adds a shard request to the unsent call to a zone's relay; sendRelayCalls sends
// it.
func (r *activeRequest) enqueue(s *shardRequest, zone string, relay Relay, extra bool, now time.Time) {
	s.arrivals++
	s.inFlight++
	s.lastStarted = now
	for _, rc := range r.unsentCalls {
		if rc.zone == zone && rc.extra == extra {
			rc.shardRequests = append(rc.shardRequests, s)
			return
		}
	}
	r.unsentCalls = append(r.unsentCalls, &relayCall{zone: zone, relay: relay, shardRequests: []*shardRequest{s}, extra: extra, started: now})
}

// sendRelayCalls sends the relay calls that enqueue has filled.
func (r *activeRequest) sendRelayCalls() {
	for _, rc := range r.unsentCalls {
		r.relayCalls = append(r.relayCalls, rc)
		r.sendRelayCall(rc)
	}
	r.unsentCalls = r.unsentCalls[:0]
}

func (r *activeRequest) sendRelayCall(rc *relayCall) {
	// One that has not answered the latest call may be dead, and would cost this request too.
	rc.kept = r.usesStrongerRelay && rc.relay.Answers()
	// Without a server in this zone there is no choice that the times could inform.
	rc.sampled = !rc.extra && hasServerIn(rc.shardRequests[0].servers, r.engine.zone) && r.engine.tracker.SampleRelay(rc.zone, rc.started)
	call := &PartsCall{
		Request:         r.request,
		Route:           r.route.Name,
		Zones:           r.allowedZones,
		Top:             r.route.TopK,
		MaxAttempts:     max(r.route.MaxAttempts, 1),
		Priority:        r.route.Priority,
		MaxMissingShare: r.maxMissingShare,
		Target:          r.route.TargetLatency,
		Cutoff:          r.timing.cutoff.Add(-r.relayMargin(rc.zone)),
		Deadline:        r.timing.deadline,
		HedgeAfter:      r.relayHedgeDelay(rc),
		ChargedBySender: rc.extra,
		Merge:           !rc.extra && !rc.sampled,
		SameZone:        rc.zone == r.engine.zone,
	}
	if rc.extra {
		call.MaxAttempts = 1
	}
	for _, s := range rc.shardRequests {
		call.Services = append(call.Services, s.service)
		call.MaxConnections = append(call.MaxConnections, r.maxConnections(s.service))
		if !rc.extra {
			// The relay hedges. It merges the parts, so the records of a part
			// that this instance got by a hedge of its own would count twice.
			s.hedgeTried = true
		}
	}
	rc.resolved = make([]bool, len(rc.shardRequests))
	r.trace.Relayed += len(rc.shardRequests)
	ctx, cancel := context.WithCancel(r.ctx)
	rc.cancel = cancel
	r.refCount.Add(1)
	go func() {
		defer r.release()
		defer cancel()
		send := func(e relayEvent) {
			e.call = rc
			deliver(r.ctx, r.relayEvents, e)
		}
		err := rc.relay.Gather(ctx, call, func() { send(relayEvent{}) }, func(result *PartsResult) { send(relayEvent{result: result}) })
		if err != nil {
			send(relayEvent{err: err})
		}
	}()
}

// acceptanceDeadline returns the time by which the relay has to accept a call.
func (r *activeRequest) acceptanceDeadline(rc *relayCall) time.Time {
	if rc.extended {
		return r.timing.cutoff
	}
	return rc.started.Add(r.acceptanceTimeout())
}

func (r *activeRequest) acceptanceTimeout() time.Duration {
	return max(time.Duration(acceptanceShare*float64(r.route.TargetLatency)), minAcceptanceTimeout)
}

// relayMargin returns how much earlier than this instance's cutoff that of a relay in a zone is.
func (r *activeRequest) relayMargin(zone string) time.Duration {
	if zone == r.engine.zone {
		return sameZoneRelayMargin
	}
	return relayMargin
}

// relayHedgeDelay returns how long a relay must not hedge, so that no third server is asked: until
// a sender that gives up the relay has done so. A sender that keeps its relay until the cutoff
// counts two servers for each shard from its own hedge delay on, so its relay hedges in time for
// urgent requests.
func (r *activeRequest) relayHedgeDelay(rc *relayCall) time.Duration {
	if rc.kept {
		return r.timing.hedgeDelay
	}
	return r.acceptanceTimeout() + cancelDelay
}

// abandonUnacceptedCalls gives up the calls that relays have not accepted in time and
// asks the backend servers directly.
func (r *activeRequest) abandonUnacceptedCalls(now time.Time) {
	for _, rc := range r.relayCalls {
		due := r.acceptanceDeadline(rc)
		if rc.ended || rc.accepted || now.Before(due) {
			continue
		}
		if !rc.extended && (rc.kept || now.Sub(due) > starvationDelay) {
			rc.extended = true
			if rc.kept {
				rc.relay.Failed()
			}
			if now.Before(r.timing.cutoff) {
				continue
			}
		}
		rc.cancel()
		if rc.extended {
			r.abandonRelayCall(rc, "acceptance of relay not read in time", serversAskedWithHedge)
			continue
		}
		rc.relay.Failed()
		r.abandonRelayCall(rc, "relay did not accept", 1)
	}
}

// abandonRelayCall gives up a call without a final result and asks the backend servers
// directly. Asked is the number of servers that the relay may have asked for each shard.
func (r *activeRequest) abandonRelayCall(rc *relayCall, event string, asked int) {
	rc.ended = true
	for i, s := range rc.shardRequests {
		if rc.resolved[i] {
			continue
		}
		s.inFlight--
		if !rc.extended { // else this instance got no processor time
			r.recordRelayed(rc, s, false)
		}
		s.directOnly = true
		s.mayHaveRun = s.mayHaveRun || asked > 0
		if asked == 0 {
			r.uncountArrival(s)
		} else {
			s.arrivals += asked - 1
		}
		if !rc.extra {
			// A relay counts the requests that it answers for the budget. This
			// instance now answers the request itself, so it counts the request.
			r.engine.budget.CountRequest(s.service, time.Now())
		}
		r.askDirectly(s, AttemptEvent{Server: rc.relay.ID(), Event: event, Took: time.Since(rc.started)})
	}
}

// askDirectly asks a backend server for a shard that a relay has not answered. Without a
// server to ask the shard is lost.
func (r *activeRequest) askDirectly(s *shardRequest, event AttemptEvent) {
	if s.isComplete() {
		return
	}
	r.traceEvent(s, event)
	if !r.launch(s, retry) && s.inFlight == 0 && !r.retryExpired(s) {
		r.markLost(s)
	}
}
