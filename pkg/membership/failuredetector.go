package membership

import "time"

const (
	// suspicionFailures is the number of consecutive failed calls after which an
	// instance is suspected. A single failed call says little on a lossy link.
	suspicionFailures = 3
	// minFailureSpan is the minimum time from the first of these failures to the
	// last. A pause of a few hundred milliseconds makes many calls fail at once,
	// and moving the ownership of backend servers costs more than waiting it out.
	minFailureSpan = 500 * time.Millisecond
	// initialSuspicion is the duration of the first suspicion of an instance. The
	// duration doubles each time the first call after a suspicion fails.
	initialSuspicion = 5 * time.Second
	// maxSuspicion bounds the doubling, so that a recovered instance is used again
	// within 30 s.
	maxSuspicion = 30 * time.Second
)

// failureDetector suspects instances by the results of this instance's own calls
// to them. View.mu guards it.
type failureDetector struct {
	records map[string]*callRecord
}

// callRecord holds the consecutive failed calls to one instance and the
// suspicion that follows from them.
type callRecord struct {
	failures          int
	firstFailure      time.Time
	suspectedSince    time.Time     // start of the latest suspicion
	suspectedUntil    time.Time     // its end; zero when never suspected
	suspicionDuration time.Duration // of the latest suspicion, or of the first one to come
}

func newFailureDetector() *failureDetector {
	return &failureDetector{records: make(map[string]*callRecord)}
}

// recordCall records the result of a call to an instance. It reports whether a
// suspicion started or ended.
func (d *failureDetector) recordCall(id string, ok bool, now time.Time) bool {
	r, known := d.records[id]
	if ok {
		delete(d.records, id)
		return known && r.isSuspected(now)
	}
	if !known {
		r = &callRecord{suspicionDuration: initialSuspicion}
		d.records[id] = r
	}
	if r.isSuspected(now) {
		return false
	}
	if r.failures == 0 {
		r.firstFailure = now
	}
	r.failures++
	if r.failures < suspicionFailures || now.Sub(r.firstFailure) < minFailureSpan {
		return false
	}
	if !r.suspectedUntil.IsZero() {
		r.suspicionDuration = min(2*r.suspicionDuration, maxSuspicion)
	}
	r.suspectedSince = now
	r.suspectedUntil = now.Add(r.suspicionDuration)
	return true
}

// suspectedRecord returns the record of an instance and whether the instance is
// suspected.
func (d *failureDetector) suspectedRecord(id string, now time.Time) (*callRecord, bool) {
	r, ok := d.records[id]
	return r, ok && r.isSuspected(now)
}

// forgetUnlisted drops the records of instances that are not in states, which
// holds the state of every listed instance.
func (d *failureDetector) forgetUnlisted(states map[string]State) {
	for id := range d.records {
		if _, listed := states[id]; !listed {
			delete(d.records, id)
		}
	}
}

func (r *callRecord) isSuspected(now time.Time) bool {
	return now.Before(r.suspectedUntil)
}
