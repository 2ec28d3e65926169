package forward

import "time"

// startHedges starts a second attempt for each shard whose last attempt is slow.
func (r *activeRequest) startHedges(now time.Time) {
	if !r.route.Repeatable {
		return
	}
	for _, s := range r.shardRequests {
		due := s.lastStarted.Add(r.timing.hedgeDelay)
		if s.isComplete() || s.hedgeTried || s.waiting || now.Before(due) {
			continue
		}
		if now.Sub(due) > starvationDelay && !s.hedgePostponed {
			// This instance got no processor time; the reply may have arrived
			// and wait to be read.
			s.hedgePostponed = true
			s.lastStarted = now.Add(starvationDelay - r.timing.hedgeDelay)
			continue
		}
		s.hedgeTried = true
		r.launch(s, hedge)
	}
}
