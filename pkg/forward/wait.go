package forward

import (
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/replicas"
)

// mustWait reports whether a first attempt has to wait for its server. An attempt that would
// miss the cutoff waits until the cutoff. Before the cutoff an attempt also waits until others
// at the service that go first have started. After the cutoff, and before it while there are
// requests of a higher priority, it waits until a limited server has nothing else to do for
// this instance, unless those requests have gone first for too long. At a slow server that must finish the part it waits only for free
// capacity.
func (r *activeRequest) mustWait(s *shardRequest, choice replicas.Choice, why purpose, now time.Time) bool {
	if why != first || !r.route.Sharded() {
		return false
	}
	if choice.Slow && r.mustFinish(s, choice, now) {
		return choice.AtCapacity
	}
	if now.Before(r.timing.cutoff) {
		return choice.AtLimit || r.wouldBeLate(choice, now) || r.othersGoFirst(s, choice, now)
	}
	return choice.LimitedAndBusy
}

// wouldBeLate reports whether the reply of an overloaded server will probably arrive after
// the cutoff.
func (r *activeRequest) wouldBeLate(choice replicas.Choice, now time.Time) bool {
	return r.route.Sharded() && now.Before(r.timing.cutoff) && now.Add(choice.ExpectedLatency).After(r.timing.cutoff)
}

// resumeWaiting starts waiting attempts whose server now has capacity. After the cutoff a
// relay leaves them to the sender, which knows whether too many shards are missing.
func (r *activeRequest) resumeWaiting(now time.Time) {
	if !r.servesPeer && r.answeredShards >= r.route.RequiredShards() && !now.Before(r.timing.cutoff) {
		return // the answer goes out without the waiting shard requests
	}
	for _, s := range r.shardRequests {
		if s.isComplete() {
			s.waiting = false // a slower attempt has answered meanwhile
		}
		if !s.waiting {
			continue
		}
		if s.reservation != nil {
			r.resumeReserved(s, now)
			continue
		}
		// A server may have started to leave while the attempt waited.
		s.servers = r.usableServers(s.service)
		if !now.Before(r.timing.cutoff) {
			r.leaveQueue(s, false) // it would keep back attempts that are still in time
		}
		switch {
		case r.servesPeer && !now.Before(r.timing.cutoff):
			s.waiting = false
			r.markLost(s)
		case len(s.expiredServers) > 0:
			if !r.retryExpired(s) {
				r.markLost(s)
			}
		case !r.launch(s, first):
			r.markLost(s)
		}
	}
}

// retryExpired sends the request once more to a server that stopped work at the cutoff,
// because the answer lacks too many shards to go out. It asks no other server, since the
// route's limit on servers may be reached. It returns false when no retry is possible.
func (r *activeRequest) retryExpired(s *shardRequest) bool {
	now := time.Now()
	s.waiting = false
	if r.servesPeer || len(s.expiredServers) == 0 || !now.Before(r.timing.deadline) {
		return false
	}
	if now.Before(r.timing.cutoff) {
		// The servers that a relay asks stop shortly before this instance's cutoff.
		s.waiting = true
		return true
	}
	s.servers = r.usableServers(s.service)
	choice, ok := r.engine.tracker.Choose(s.servers, r.route.Name, func(id string) bool { return !slices.Contains(s.expiredServers, id) }, now)
	if ok && choice.RateDelay > 0 {
		return false
	}
	if ok && choice.LimitedAndBusy {
		s.waiting = true
		return true
	}
	if !ok || !r.chargeBudget(s, now) {
		return false
	}
	s.expiredServers = nil
	r.sendAttempt(s, choice, now)
	s.arrivals-- // the earlier attempt at this server is already counted
	r.countExtra(s, retry, choice.Server.ID)
	return true
}
