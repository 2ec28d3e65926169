package suspects

import (
	"slices"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
)

// Tracker holds the suspected requests of all instances as far as this instance knows
// them. It is safe for concurrent use.
type Tracker struct {
	onChange func(Change) // called without locks held; must not block

	mu        sync.Mutex
	suspects  map[uint64]*Suspect
	order     []uint64            // fingerprints by the time at which they became suspects
	lost      map[string][]uint64 // fingerprints of the suspects with a loss, by run of the server
	recent    recentLosses
	history   history
	successes crashguard.SuccessSet
}

// NewTracker returns a tracker without suspects, which knows of all quarantines. It calls onChange
// for each loss that changes a verdict.
func NewTracker(onChange func(Change)) *Tracker {
	return &Tracker{
		onChange:  onChange,
		suspects:  make(map[uint64]*Suspect),
		lost:      make(map[string][]uint64),
		successes: crashguard.NewSuccessSet(successGeneration),
	}
}

// BeginHistory tells that other instances may have quarantined requests before now, of which this
// one knows nothing.
func (t *Tracker) BeginHistory(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.begin(now)
}

// HistoryAge returns for how long this instance has known of all quarantines, at most
// QuarantineTime.
func (t *Tracker) HistoryAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.age(now)
}

// MergeHistory takes over the age of another instance's history, after its suspects were merged.
func (t *Tracker) MergeHistory(age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.merge(now.Add(-age))
}

// Verdict returns how a request may be sent now.
func (t *Tracker) Verdict(fingerprint uint64, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdictLocked(fingerprint, now)
}

func (t *Tracker) verdictLocked(fingerprint uint64, now time.Time) Verdict {
	s := t.suspects[fingerprint]
	if s == nil {
		return Verdict{}
	}
	if s.expired(now) {
		t.removeLocked(fingerprint)
		return Verdict{}
	}
	return s.verdict(func(loss Loss) bool {
		return !t.history.isComplete(now) && !t.recent.explain(s, loss)
	})
}

// RecordLoss records that a connection was lost under a request.
func (t *Tracker) RecordLoss(fingerprint uint64, loss Loss) {
	t.merge(fingerprint, []Loss{loss}, false)
}

// Merge takes in what another instance knows of a suspect and reports whether any of it was
// new.
func (t *Tracker) Merge(reported Suspect) bool {
	added := t.merge(reported.Fingerprint, reported.Losses, true)
	if reported.Unanswered && t.recordUnanswered(reported.Fingerprint, true) {
		added = true
	}
	return added
}

// RecordUnanswered records that a caller's request has ended with a loss and without a reply of
// any server.
func (t *Tracker) RecordUnanswered(fingerprint uint64) { t.recordUnanswered(fingerprint, false) }

func (t *Tracker) recordUnanswered(fingerprint uint64, reported bool) (isNew bool) {
	change, isNew := t.setUnanswered(fingerprint)
	if isNew && change.Verdict.Quarantined() {
		change.Reported = reported
		t.notify([]Change{change})
	}
	return isNew
}

func (t *Tracker) setUnanswered(fingerprint uint64) (change Change, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[fingerprint]
	if s == nil || s.Unanswered {
		return Change{}, false
	}
	s.Unanswered = true
	latest := s.Losses[len(s.Losses)-1]
	return Change{Fingerprint: fingerprint, Server: latest.Server, Verdict: t.verdictLocked(fingerprint, latest.Ended)}, true
}

func (t *Tracker) merge(fingerprint uint64, losses []Loss, reported bool) bool {
	changes, added := t.addLosses(fingerprint, losses, reported)
	t.notify(changes)
	return added
}

func (t *Tracker) notify(changes []Change) {
	for _, change := range changes {
		t.onChange(change)
	}
}

// addLosses adds the losses that are not known yet. It returns the changes of the verdict,
// and whether a loss was new.
func (t *Tracker) addLosses(fingerprint uint64, losses []Loss, reported bool) (changes []Change, added bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, loss := range losses {
		t.recent.record(loss)
		if t.successes.SucceededSince(fingerprint, loss.Ended.Add(-shieldTime)) {
			continue
		}
		before := t.verdictLocked(fingerprint, loss.Ended)
		s := t.suspects[fingerprint]
		if s == nil {
			s = t.createLocked(fingerprint)
		}
		isNew, dropped := s.add(loss)
		if !isNew {
			continue
		}
		added = true
		if !slices.Contains(t.lost[loss.Server], fingerprint) {
			t.lost[loss.Server] = append(t.lost[loss.Server], fingerprint)
		}
		if dropped != "" {
			t.unlistLocked(dropped, fingerprint)
		}
		if after := t.verdictLocked(fingerprint, loss.Ended); after.Losses != before.Losses {
			changes = append(changes, Change{Fingerprint: fingerprint, Server: loss.Server, Verdict: after, Reported: reported})
		}
	}
	return changes, added
}

func (t *Tracker) createLocked(fingerprint uint64) *Suspect {
	if len(t.order) >= maxSuspects {
		t.removeLocked(t.order[0])
	}
	s := &Suspect{Fingerprint: fingerprint}
	t.suspects[fingerprint] = s
	t.order = append(t.order, fingerprint)
	return s
}

// RecordReply clears a request that a server has answered, also of losses that happen or are
// reported within shieldTime from now.
func (t *Tracker) RecordReply(fingerprint uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.successes.Record(fingerprint, now)
	if t.suspects[fingerprint] != nil {
		t.removeLocked(fingerprint)
	}
}

// RecordAlive records that a run of a server has answered an attempt that began at the
// given time. It refutes losses shortly before: these were of connections only. They are kept,
// so that a report of another instance does not bring them back.
func (t *Tracker) RecordAlive(server string, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, fingerprint := range t.lost[server] {
		t.suspects[fingerprint].refute(server, func(loss Loss) bool {
			return !began.Before(loss.Ended) && began.Sub(loss.Ended) < restartTime
		})
	}
}

// Suspect returns what is known of a request that is suspected.
func (t *Tracker) Suspect(fingerprint uint64, now time.Time) (Suspect, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.verdictLocked(fingerprint, now).Suspected() {
		return Suspect{}, false
	}
	return t.suspects[fingerprint].clone(), true
}

// Shared returns what each instance has to know: the requests in quarantine, and those that
// would be if no loss had been refuted, the latest suspects first, at most maxShared.
func (t *Tracker) Shared(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var shared []Suspect
	for _, fingerprint := range slices.Backward(t.order) {
		if len(shared) == maxShared {
			break
		}
		s := t.suspects[fingerprint]
		if !s.expired(now) && (s.widelyLost() || t.verdictLocked(fingerprint, now).Quarantined()) {
			shared = append(shared, s.clone())
		}
	}
	return shared
}

func (t *Tracker) removeLocked(fingerprint uint64) {
	for _, loss := range t.suspects[fingerprint].Losses {
		t.unlistLocked(loss.Server, fingerprint)
	}
	delete(t.suspects, fingerprint)
	if i := slices.Index(t.order, fingerprint); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

func (t *Tracker) unlistLocked(server string, fingerprint uint64) {
	left := slices.DeleteFunc(t.lost[server], func(other uint64) bool { return other == fingerprint })
	if len(left) == 0 {
		delete(t.lost, server)
		return
	}
	t.lost[server] = left
}
