package membership

import (
	"slices"
	"time"
)

// drainNoticeDuration is how long a drain notice holds. A backend server may be
// restarted in place while the platform's list keeps calling it live; it gets
// requests again after this time even if no instance has seen its new
// incarnation.
const drainNoticeDuration = 60 * time.Second

// minDrainExtension is the smallest extension for which a repeated drain notice
// is recorded. A draining server repeats its notice in every reply, and each
// recorded extension makes the view compute its rankings again.
const minDrainExtension = 5 * time.Second

// maxSuperseded bounds how many earlier incarnations are remembered per id. Only
// those matter whose notices or replies can still be in flight.
const maxSuperseded = 4

// drainNotices holds the drain notices of either the backend servers or the
// instances, by id. View.mu guards it.
type drainNotices struct {
	records map[string]*drainRecord
}

// drainRecord holds the known incarnations of one backend server or instance and
// its drain notice.
type drainRecord struct {
	currentIncarnation  string   // latest incarnation seen, "" before the first
	superseded          []string // earlier incarnations, oldest first
	draining            bool     // whether there is a notice; it applies until noticeEnd
	drainingIncarnation string   // incarnation that the notice is about
	noticeEnd           time.Time
}

func newDrainNotices() *drainNotices {
	return &drainNotices{records: make(map[string]*drainRecord)}
}

// recordDrain records that incarnation was observed draining at the given time.
// changed reports that id was not known to be draining before, renewed that its
// existing notice now holds longer. A notice of a superseded incarnation is
// ignored.
func (n *drainNotices) recordDrain(id, incarnation string, observed time.Time) (changed, renewed bool) {
	r := n.recordOf(id)
	if slices.Contains(r.superseded, incarnation) {
		return false, false
	}
	r.setIncarnation(incarnation)
	end := observed.Add(drainNoticeDuration)
	changed = !r.isDraining(observed) || r.drainingIncarnation != incarnation
	renewed = !changed && end.Sub(r.noticeEnd) >= minDrainExtension
	if changed || renewed {
		r.noticeEnd = end
	}
	r.draining = true
	r.drainingIncarnation = incarnation
	return changed, renewed
}

// recordReply records that incarnation replied without draining. It reports
// whether this ended the drain notice of another incarnation.
func (n *drainNotices) recordReply(id, incarnation string) bool {
	r := n.recordOf(id)
	if incarnation == "" || slices.Contains(r.superseded, incarnation) {
		return false
	}
	r.setIncarnation(incarnation)
	ended := r.draining && r.drainingIncarnation != incarnation
	if ended {
		r.draining = false
	}
	return ended
}

// isDraining reports whether a drain notice holds for id.
func (n *drainNotices) isDraining(id string, now time.Time) bool {
	r, ok := n.records[id]
	return ok && r.isDraining(now)
}

// drainingIDs returns the ids for which a drain notice holds.
func (n *drainNotices) drainingIDs(now time.Time) []string {
	var ids []string
	for id, r := range n.records {
		if r.isDraining(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// endOf returns when the drain notice of id expires, or the zero time when no
// notice holds.
func (n *drainNotices) endOf(id string, now time.Time) time.Time {
	if !n.isDraining(id, now) {
		return time.Time{}
	}
	return n.records[id].noticeEnd
}

// reconcile applies a new list from the platform, given as the state of every
// listed id. It drops the records of ids that are no longer listed and the
// notices of those that the list itself calls leaving.
func (n *drainNotices) reconcile(states map[string]State) {
	for id, r := range n.records {
		state, listed := states[id]
		if !listed {
			delete(n.records, id)
			continue
		}
		if state == StateLeaving {
			r.draining = false
		}
	}
}

// recordOf returns the record of id and creates it if needed.
func (n *drainNotices) recordOf(id string) *drainRecord {
	r, ok := n.records[id]
	if !ok {
		r = &drainRecord{}
		n.records[id] = r
	}
	return r
}

// isDraining reports whether a drain notice holds.
func (r *drainRecord) isDraining(now time.Time) bool {
	return r.draining && now.Before(r.noticeEnd)
}

// setIncarnation makes incarnation the current one and remembers the previous
// one as superseded.
func (r *drainRecord) setIncarnation(incarnation string) {
	if incarnation == "" || incarnation == r.currentIncarnation {
		return
	}
	if r.currentIncarnation != "" {
		r.superseded = append(r.superseded, r.currentIncarnation)
	}
	if len(r.superseded) > maxSuperseded {
		r.superseded = r.superseded[1:]
	}
	r.currentIncarnation = incarnation
}
