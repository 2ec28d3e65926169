package membership

import (
	"slices"
	"time"
)

// drainHold bounds a drain notice. A server that was restarted in place while
// the platform's list kept calling it live returns after this time even when
// nobody has seen its new incarnation.
const drainHold = 60 * time.Second

// drainRenewal is the least extension that a repeated notice takes effect for.
// A draining server repeats it in every reply, and each effect makes the view
// compute its rankings again.
const drainRenewal = 5 * time.Second

// maxSuperseded bounds the incarnations remembered per id; only those whose
// notices or replies can still be in flight matter.
const maxSuperseded = 4

// drainLedger holds drain notices by id. View.mu guards it.
type drainLedger struct {
	entries map[string]*drainEntry
}

// drainEntry is what is known about the incarnations of one id.
type drainEntry struct {
	current    string   // incarnation seen last, "" when none
	superseded []string // earlier incarnations, oldest first
	draining   bool
	drained    string // incarnation that drains
	until      time.Time
}

func newDrainLedger() *drainLedger {
	return &drainLedger{entries: make(map[string]*drainEntry)}
}

// drain records that the incarnation was observed draining at the given time.
// changed reports that the id was not known to drain before, renewed that a
// known notice holds longer.
func (l *drainLedger) drain(id, incarnation string, observed time.Time) (changed, renewed bool) {
	e := l.entry(id)
	if slices.Contains(e.superseded, incarnation) {
		return false, false
	}
	e.advance(incarnation)
	until := observed.Add(drainHold)
	changed = !e.holds(observed) || e.drained != incarnation
	renewed = !changed && until.Sub(e.until) >= drainRenewal
	if changed || renewed {
		e.until = until
	}
	e.draining = true
	e.drained = incarnation
	return changed, renewed
}

// seen records that an incarnation replied. It reports whether a drain notice
// ended by it.
func (l *drainLedger) seen(id, incarnation string) bool {
	e := l.entry(id)
	if incarnation == "" || slices.Contains(e.superseded, incarnation) {
		return false
	}
	e.advance(incarnation)
	ended := e.draining && e.drained != incarnation
	if ended {
		e.draining = false
	}
	return ended
}

// isDraining reports whether a notice holds for id.
func (l *drainLedger) isDraining(id string, now time.Time) bool {
	e, ok := l.entries[id]
	return ok && e.holds(now)
}

// end returns when the notice of id ends by itself; zero when none holds.
func (l *drainLedger) end(id string, now time.Time) time.Time {
	if !l.isDraining(id, now) {
		return time.Time{}
	}
	return l.entries[id].until
}

// settle drops what the platform's list now states itself: states holds the
// listed ids.
func (l *drainLedger) settle(states map[string]State) {
	for id, e := range l.entries {
		state, listed := states[id]
		if !listed {
			delete(l.entries, id)
			continue
		}
		if state == StateLeaving {
			e.draining = false
		}
	}
}

func (l *drainLedger) entry(id string) *drainEntry {
	e, ok := l.entries[id]
	if !ok {
		e = &drainEntry{}
		l.entries[id] = e
	}
	return e
}

func (e *drainEntry) holds(now time.Time) bool {
	return e.draining && now.Before(e.until)
}

// advance makes incarnation the current one and remembers the one before.
func (e *drainEntry) advance(incarnation string) {
	if incarnation == "" || incarnation == e.current {
		return
	}
	if e.current != "" {
		e.superseded = append(e.superseded, e.current)
	}
	if len(e.superseded) > maxSuperseded {
		e.superseded = e.superseded[1:]
	}
	e.current = incarnation
}
