package forward

import (
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
)

// lowPriorityWaitShare is the share of the time until an answer is due that a request may wait
// for a rate limit while there are requests of a higher priority. These then find shorter
// queues.
const lowPriorityWaitShare = 0.5

// reservation is an attempt that waits until the rate limit of its server allows it.
type reservation struct {
	choice replicas.Choice
	at     time.Time // when the attempt may start
}

// maxRateDelay returns how long a first attempt may wait for the rate limit of its server. The
// reply has to arrive before the answer is due: a request that would be late is refused early,
// so that its caller can try again, and does not use up the rate.
func (r *activeRequest) maxRateDelay(now time.Time) time.Duration {
	left := max(r.timing.cutoff.Sub(now)-r.engine.latencyEstimate(r.route), 0)
	if r.route.Sharded() && r.engine.shedding.Classes.HasHigher(r.route.Priority, now) {
		return time.Duration(lowPriorityWaitShare * float64(left))
	}
	return left
}

// reserve lets an attempt wait for the rate limit of its server, and returns false if that
// takes too long.
func (r *activeRequest) reserve(s *shardRequest, choice replicas.Choice, now time.Time) bool {
	if choice.RateDelay > r.maxRateDelay(now) {
		r.traceEvent(s, AttemptEvent{Server: choice.Server.ID, Event: "rate limit used up"})
		return false
	}
	r.engine.tracker.Reserve(choice.Server, now)
	s.waiting = true
	s.reservation = &reservation{choice: choice, at: now.Add(choice.RateDelay)}
	r.traceEvent(s, AttemptEvent{Server: choice.Server.ID, Event: "waits for the rate limit"})
	return true
}

// resumeReserved starts an attempt whose time has come. If its server has started to leave
// meanwhile, another one is chosen.
func (r *activeRequest) resumeReserved(s *shardRequest, now time.Time) {
	choice := s.reservation.choice
	if now.Before(s.reservation.at) {
		return
	}
	r.dropReservation(s, now)
	s.servers = r.usableServers(s.service)
	started := false
	if r.mayLaunch(s, first, now) && !r.crashes.verdict(now).Suspected() && slices.ContainsFunc(s.servers, func(server *directory.Server) bool { return server.Key() == choice.Server.Key() }) {
		started = r.start(s, choice, first, now)
	} else {
		started = r.launch(s, first)
	}
	if !started {
		r.markLost(s)
	}
}

// dropReservation ends a wait and gives the reserved request back. An attempt that starts takes
// its own.
func (r *activeRequest) dropReservation(s *shardRequest, now time.Time) {
	if s.reservation == nil {
		return
	}
	r.engine.tracker.Release(s.reservation.choice.Server, now)
	s.reservation, s.waiting = nil, false
}

// nextReservation returns the earliest time at which a waiting attempt may start.
func (r *activeRequest) nextReservation() (at time.Time, waits bool) {
	for _, s := range r.shardRequests {
		if s.reservation != nil && (!waits || s.reservation.at.Before(at)) {
			at, waits = s.reservation.at, true
		}
	}
	return at, waits
}

// isRelayed reports whether a relay would make an attempt at the server. The rate limit is then
// up to the relay.
func (r *activeRequest) isRelayed(s *shardRequest, server *directory.Server, why purpose) bool {
	if s.arrivals == 0 && s.countedInBudget {
		return false // start asks directly after a relay could not be reached
	}
	_, relay := r.relayFor(s, server, why)
	return relay != nil
}
