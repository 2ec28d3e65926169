package forward

import (
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/replicas"
)

// mustWait reports whether a first attempt has to wait until its server has room. One
// that will be late anyway, or that others go before by the table's priorities, waits
// until the server has nothing else to do.
func (r *run) mustWait(l *leg, choice replicas.Choice, why purpose, now time.Time) bool {
	if why != first || !r.route.Sharded() {
		return false
	}
	if choice.Slow && r.mustFinish(l, choice, now) {
		return choice.Occupied
	}
	if now.Before(r.timing.cutoff) {
		return choice.Full || r.late(choice, now) || choice.Busy && r.engine.ranks.outranked(r.route.Priority, now)
	}
	return choice.Busy
}

// late reports whether the reply of a server that has too much work will probably not
// be in the answer when that is due.
func (r *run) late(choice replicas.Choice, now time.Time) bool {
	return r.route.Sharded() && now.Before(r.timing.cutoff) && now.Add(choice.Expected).After(r.timing.cutoff)
}

// resume starts attempts that have waited. After the answer is due it leaves those of
// a relay to the sender, which knows whether too many shards are missing.
func (r *run) resume(now time.Time) {
	if !r.relayed && r.have >= r.route.RequiredShards() && !now.Before(r.timing.cutoff) {
		return // the answer goes out
	}
	for _, l := range r.legs {
		if !l.waits {
			continue
		}
		// A server may have begun to leave meanwhile.
		l.servers = r.engine.directory.Servers(l.service)
		switch {
		case r.relayed && !now.Before(r.timing.cutoff):
			l.waits = false
			r.lose(l)
		case len(l.again) > 0:
			if !r.askAgain(l) {
				r.lose(l)
			}
		case !r.launch(l, first):
			r.lose(l)
		}
	}
}

// askAgain sends the request once more to a server that was told to stop when the
// answer was due, since it turned out that the answer lacks too many shards. No
// other server may be asked when the route's number of them is reached.
func (r *run) askAgain(l *leg) bool {
	now := time.Now()
	l.waits = false
	if r.relayed || len(l.again) == 0 || !now.Before(r.timing.deadline) {
		return false
	}
	if now.Before(r.timing.cutoff) {
		// A relay's servers stop a little earlier than the answer is due.
		l.waits = true
		return true
	}
	choice, ok := r.engine.tracker.Choose(l.servers, r.route.Name, func(id string) bool { return !slices.Contains(l.again, id) }, now)
	if ok && choice.Busy {
		l.waits = true
		return true
	}
	if !ok || !r.spend(l, now) {
		return false
	}
	l.again = nil
	r.begin(l, choice, now)
	l.arrivals-- // the server is counted already
	r.countExtra(l, retry, choice.Server.ID)
	return true
}
