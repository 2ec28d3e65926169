package forward

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
)

// purpose is the reason for an attempt.
type purpose int

const (
	first purpose = iota
	hedge         // the previous attempt is slow
	retry         // the previous attempt failed
)

// launch starts an attempt at a backend server or through a relay, or lets a first attempt
// wait for capacity. It returns false when no attempt is possible or allowed.
func (r *activeRequest) launch(s *shardRequest, why purpose) bool {
	now := time.Now()
	if !r.mayLaunch(s, why, now) {
		return false
	}
	verdict := r.crashes.verdict(now)
	if why == hedge && verdict.Suspected() {
		return false
	}
	if r.mustProbe(s, verdict) {
		s.waiting = true
		return true
	}
	if !r.mayProbe(verdict, now) {
		return false
	}
	if verdict.Quarantined() && !r.mayProbeNow(now) {
		s.waiting = true
		return true
	}
	if r.isLeftOut(s, why, now) {
		return false
	}
	if verdict.Suspected() {
		s.directOnly = true // a relay that knows of the losses asks no server any more
	}
	if why != first {
		// Servers may have begun to leave since the request arrived.
		s.servers = r.usableServers(s.service)
	}
	choice, ok := r.choose(s, why, now)
	if !ok || why == hedge && (choice.Stalled || choice.AtLimit || choice.Ejected || r.wouldBeLate(choice, now)) {
		return false
	}
	if choice.RateDelay > 0 && !r.isRelayed(s, choice.Server, why) {
		return why == first && r.reserve(s, choice, now)
	}
	if r.mustWait(s, choice, why, now) {
		if !s.waiting {
			r.traceEvent(s, AttemptEvent{Server: choice.Server.ID, Event: "waits for room"})
			r.engine.shedding.Shortage.RecordPart(s.service, true, now)
		}
		s.waiting = true
		r.updateQueue(s, choice, now)
		return true
	}
	s.waiting = false
	r.recordTurn(s, choice, why)
	if !r.start(s, choice, why, now) {
		return false
	}
	if verdict.Suspected() {
		r.crashes.probes++
	}
	return true
}

// start starts an attempt at the chosen server, and returns false if the budget does not
// allow it.
func (r *activeRequest) start(s *shardRequest, choice replicas.Choice, why purpose, now time.Time) bool {
	if s.arrivals == 0 && !r.chargedBySender {
		r.startFirst(s, choice, why, now)
		return true
	}
	if !r.chargedBySender && !r.chargeBudget(s, now) {
		return false
	}
	r.startExtra(s, choice, why, now)
	return true
}

// startFirst starts an attempt for a shard for which no server has been reached yet. The
// request counts for the budget of the instance that executes the attempt: this one, or
// the relay that gets it.
func (r *activeRequest) startFirst(s *shardRequest, choice replicas.Choice, why purpose, now time.Time) {
	if why == first {
		r.stages.recordStart(&r.trace.Stages, now)
	}
	if !s.countedInBudget {
		s.countedInBudget = true
		if zone, relay := r.relayFor(s, choice.Server, why); relay != nil {
			r.engine.tracker.RecordFirst(zone, now)
			r.enqueue(s, zone, relay, false, now)
			return
		}
		r.engine.tracker.RecordFirst(choice.Server.Zone, now)
		r.engine.budget.CountRequest(s.service, now)
	}
	r.sendAttempt(s, choice, now)
	r.countExtra(s, why, choice.Server.ID)
}

// startExtra starts an attempt beyond the first. It is already charged to the budget.
func (r *activeRequest) startExtra(s *shardRequest, choice replicas.Choice, why purpose, now time.Time) {
	if zone, relay := r.relayFor(s, choice.Server, why); relay != nil {
		s.tried = append(s.tried, choice.Server.ID)
		r.countExtra(s, why, relay.ID())
		r.enqueue(s, zone, relay, true, now)
		return
	}
	r.sendAttempt(s, choice, now)
	r.countExtra(s, why, choice.Server.ID)
}

// chargeBudget charges one more attempt of a shard request to the budget and reports
// whether the budget allows it.
func (r *activeRequest) chargeBudget(s *shardRequest, now time.Time) bool {
	if !r.engine.budget.Spend(s.service, now) {
		r.trace.Denied++
		r.traceEvent(s, AttemptEvent{Event: "extra attempt denied by the budget"})
		return false
	}
	s.chargedAttempts++
	return true
}

// uncountArrival takes back an attempt that has reached no server. It neither counts for
// the route's limit on attempts nor is it charged to the budget.
func (r *activeRequest) uncountArrival(s *shardRequest) {
	s.arrivals--
	r.refund(s)
}

func (r *activeRequest) refund(s *shardRequest) {
	if s.chargedAttempts > 0 {
		s.chargedAttempts--
		r.engine.budget.Refund(s.service, time.Now())
	}
}

func (r *activeRequest) countExtra(s *shardRequest, why purpose, target string) {
	switch why {
	case hedge:
		r.trace.Hedges++
		r.traceEvent(s, AttemptEvent{Server: target, Event: "hedged"})
	case retry:
		r.trace.Retries++
	}
}

// relayFor returns the relay for an attempt at a server, and the relay's zone: an instance
// in the server's zone if that is another zone, or an instance of this zone with much
// more processor time than this one. The relay is nil when the server is to be asked
// directly. A relay itself relays only hedges, and their receivers relay nothing, so that
// instances with differing views cannot pass a request around in circles.
func (r *activeRequest) relayFor(s *shardRequest, server *directory.Server, why purpose) (string, Relay) {
	if !r.route.Sharded() || s.directOnly || r.chargedBySender || r.servesPeer && why == first || why == retry {
		return "", nil
	}
	if server.Zone == r.engine.zone {
		if why != first {
			return "", nil
		}
		if rc := r.unsentCallTo(server.Zone); rc != nil {
			return rc.zone, rc.relay
		}
		stronger := r.engine.relays.Stronger()
		r.usesStrongerRelay = r.usesStrongerRelay || stronger != nil
		return server.Zone, stronger
	}
	zone := server.Zone
	if why == first && r.relayZone != "" && hasServerIn(s.servers, r.relayZone) {
		zone = r.relayZone
	}
	if rc := r.unsentCallTo(zone); rc != nil {
		return zone, rc.relay
	}
	relay := r.engine.relays.Pick(zone)
	if relay != nil && why == first && r.relayZone == "" {
		// The other shards without a server in this zone use the same relay.
		r.relayZone = zone
		r.usesStrongerRelay = r.usesStrongerRelay || relay.Stronger()
	}
	return zone, relay
}

// unsentCallTo returns the unsent call to a zone's relay, or nil.
func (r *activeRequest) unsentCallTo(zone string) *relayCall {
	for _, rc := range r.unsentCalls {
		if rc.zone == zone {
			return rc
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

func (r *activeRequest) mayLaunch(s *shardRequest, why purpose, now time.Time) bool {
	if !now.Before(r.timing.deadline) || s.arrivals >= max(r.route.MaxAttempts, 1) {
		return false
	}
	if why != first && r.tooLate(s, now) {
		return false
	}
	return why == first || r.route.Repeatable || !s.mayHaveRun && s.inFlight == 0
}

// tooLate reports whether the reply to a further attempt would miss the answer, which goes
// out at the cutoff if enough shards have replied. With too few replies the answer waits,
// but shortly before the cutoff a shard with expired servers still gets no attempt: it can
// ask these servers again at the cutoff, with all the time until the deadline.
func (r *activeRequest) tooLate(s *shardRequest, now time.Time) bool {
	if !r.route.Sharded() || r.answeredShards < r.route.RequiredShards() && (len(s.expiredServers) == 0 || !now.Before(r.timing.cutoff)) {
		return false
	}
	return now.Add(r.engine.latencyEstimate(r.route) / 2).After(r.timing.cutoff)
}

// choose selects the server for the next attempt. It prefers servers that stay over those
// that are leaving. Servers of a zone that has just returned get a rising share of the
// choices, and those that no other server can take.
func (r *activeRequest) choose(s *shardRequest, why purpose, now time.Time) (replicas.Choice, bool) {
	tracker := r.engine.tracker
	candidates := tracker.WithoutReturning(s.servers, s.returnDraw, now)
	if len(candidates) == len(s.servers) {
		return r.chooseAmong(s, candidates, why, now)
	}
	// What the return of a zone keeps out says nothing about the share that leaves.
	choice, ok := tracker.Choose(candidates, r.route.Name, s.wasTried, now)
	if !ok || choice.Stalled || choice.AtLimit || choice.Ejected || choice.RateDelay > 0 {
		return r.chooseAmong(s, s.servers, why, now)
	}
	return choice, true
}

// chooseAmong selects among servers, and among those that are leaving if there is no other.
func (r *activeRequest) chooseAmong(s *shardRequest, servers []*directory.Server, why purpose, now time.Time) (replicas.Choice, bool) {
	tracker := r.engine.tracker
	var choice replicas.Choice
	var ok bool
	switch why {
	case first:
		choice, ok = tracker.ChooseFirst(servers, r.route.Name, r.zoneDraw, s.wasTried, now)
	case hedge:
		choice, ok = tracker.ChooseHedge(servers, r.route.Name, s.wasTried, now)
	default:
		choice, ok = tracker.Choose(servers, r.route.Name, s.wasTried, now)
	}
	if ok {
		return choice, true
	}
	return r.engine.tracker.Choose(r.lastResort(s.service), r.route.Name, s.wasTried, now)
}

func (r *activeRequest) traceEvent(s *shardRequest, event AttemptEvent) {
	event.Service = s.service
	event.After = time.Since(r.request.Arrived)
	r.trace.add(event)
}
