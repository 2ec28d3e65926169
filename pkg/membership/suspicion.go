package membership

import "time"

const (
	// suspicionFailures is the number of consecutive failed calls after which an
	// instance is suspected; a single lost call says little on a lossy link.
	suspicionFailures = 3
	// suspicionSpan is the least time from the first of these failures to the
	// last. A pause of some hundred milliseconds fails many calls at once, and
	// moving the ownership for it costs more than it saves.
	suspicionSpan = 500 * time.Millisecond
	// suspicionHold is the length of the first suspicion. It doubles while the
	// first call after it fails again.
	suspicionHold = 5 * time.Second
	// maxSuspicionHold bounds the doubling, so that a recovered instance is used
	// again within half a minute.
	maxSuspicionHold = 30 * time.Second
)

// suspicion holds this instance's own observations of calls to others.
// View.mu guards it.
type suspicion struct {
	records map[string]*callRecord
}

// callRecord counts the consecutive failures of calls to one instance.
type callRecord struct {
	failures int
	first    time.Time // earliest of the consecutive failures
	since    time.Time // start of the suspicion
	until    time.Time // end of the suspicion, zero when never suspected
	hold     time.Duration
}

func newSuspicion() *suspicion {
	return &suspicion{records: make(map[string]*callRecord)}
}

// report records one call. It reports whether a suspicion started or ended.
func (s *suspicion) report(id string, ok bool, now time.Time) bool {
	r, known := s.records[id]
	if ok {
		delete(s.records, id)
		return known && r.suspected(now)
	}
	if !known {
		r = &callRecord{hold: suspicionHold}
		s.records[id] = r
	}
	if r.suspected(now) {
		return false
	}
	if r.failures == 0 {
		r.first = now
	}
	r.failures++
	if r.failures < suspicionFailures || now.Sub(r.first) < suspicionSpan {
		return false
	}
	if !r.until.IsZero() {
		r.hold = min(2*r.hold, maxSuspicionHold)
	}
	r.since = now
	r.until = now.Add(r.hold)
	return true
}

// suspected returns the record of id while it is suspected.
func (s *suspicion) suspected(id string, now time.Time) (*callRecord, bool) {
	r, ok := s.records[id]
	return r, ok && r.suspected(now)
}

// settle forgets instances that the list no longer holds.
func (s *suspicion) settle(states map[string]State) {
	for id := range s.records {
		if _, listed := states[id]; !listed {
			delete(s.records, id)
		}
	}
}

func (r *callRecord) suspected(now time.Time) bool {
	return now.Before(r.until)
}
