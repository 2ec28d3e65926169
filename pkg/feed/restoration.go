package feed

import (
	"bytes"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// rewriteTime is how long after a restore of the store its writers, the servers and the
// operator, need to write again what the copy lacks.
const rewriteTime = 2 * time.Second

// restoration decides which items are in force after the store has been restored from a copy:
// those of the copy, or those that this instance held before. It decides by key, for items of
// any kind; only servers have runs that can be known to have gone. It is safe for concurrent use.
type restoration struct {
	decoder Decoder

	mu        sync.Mutex
	began     time.Time // when the current era was first read; zero before the first restore
	eraBefore int64     // era that was known before
	freshFrom int64     // items from this revision on were written after eraBefore
	settled   bool      // rewriteTime has passed
	// earlier holds what is held in place of the store's item of the same key, or of its
	// absence. Removed items are held against those of the copy.
	earlier map[string]Item
}

// begin starts to hold what was known before a restore, in the era eraBefore. First is the first
// complete read of the era by this instance.
func (r *restoration) begin(known knownHistory, eraBefore int64, first Batch, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := known.latest
	for key, item := range r.earlier {
		held[key] = item
	}
	r.began, r.eraBefore = now, eraBefore
	r.freshFrom = min(first.Position.Revision+1, known.divergence(first.Items))
	if state := first.Restored; state != nil {
		// The sender may have read the era at its beginning, and this instance later.
		r.began = now.Add(-state.Ago)
		r.takeOverLocked(state, held)
	}
	r.earlier = held
	r.settled = !now.Before(r.began.Add(rewriteTime))
}

// takeOverLocked adds what another instance holds, unless this instance has known a later era
// before. Between two histories, revisions say nothing about the order of two items.
func (r *restoration) takeOverLocked(state *RestoreState, held map[string]Item) {
	if state.EraBefore < r.eraBefore {
		return
	}
	later := state.EraBefore > r.eraBefore
	if later {
		r.eraBefore, r.freshFrom = state.EraBefore, state.FreshFrom
	}
	r.freshFrom = min(r.freshFrom, state.FreshFrom)
	for _, item := range state.Earlier {
		own, known := held[item.Key]
		// What this instance has seen leave may be in the copy of which the sender's item is.
		hasLeft := known && !item.Removed && r.hasGone(own, item)
		if !known || later && !hasLeft || r.isNewer(own, item) {
			held[item.Key] = item
		}
	}
}

// resolve returns the items in force for a complete list, and forgets what is no longer held.
func (r *restoration) resolve(items []Item) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.earlier) == 0 {
		return items
	}
	inForce := make([]Item, 0, len(items))
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
		if use, ok := r.decideLocked(item.Key, &item); ok {
			inForce = append(inForce, use)
		}
	}
	for key := range r.earlier {
		if listed[key] {
			continue
		}
		if use, ok := r.decideLocked(key, nil); ok {
			inForce = append(inForce, use)
		}
	}
	return inForce
}

// release stops holding items that were written after the restore.
func (r *restoration) release(items []Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		delete(r.earlier, item.Key)
	}
}

// settle ends the rewrite time when it has passed. It returns the changes of what is in force;
// removed items have the value that they had. Current returns the store's item of a key.
func (r *restoration) settle(now time.Time, current func(key string) (Item, bool)) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began.IsZero() || r.settled || now.Before(r.began.Add(rewriteTime)) {
		return nil
	}
	r.settled = true
	var changes []Item
	for key, before := range r.earlier {
		var item *Item
		if listed, ok := current(key); ok {
			item = &listed
		}
		after, ok := r.decideLocked(key, item)
		if !ok {
			after = before
			after.Removed = true
		}
		if after.Removed != before.Removed || !bytes.Equal(after.Value, before.Value) && !after.Removed {
			changes = append(changes, after)
		}
	}
	return changes
}

// settlesAt returns when the rewrite time ends, if it is in progress.
func (r *restoration) settlesAt() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.began.Add(rewriteTime), !r.began.IsZero() && !r.settled
}

// beganAt returns when the current era was first read, or zero before the first restore.
func (r *restoration) beganAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.began
}

// state returns what is held, to be sent to other instances, or nil before the first restore.
func (r *restoration) state(now time.Time) *RestoreState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began.IsZero() {
		return nil
	}
	state := &RestoreState{Ago: max(now.Sub(r.began), time.Millisecond), EraBefore: r.eraBefore, FreshFrom: r.freshFrom}
	for _, item := range r.earlier {
		state.Earlier = append(state.Earlier, item)
	}
	return state
}

// decideLocked returns the item in force for a key; ok is false if there is none. Current is the
// store's item, nil if the store has none.
func (r *restoration) decideLocked(key string, current *Item) (use Item, ok bool) {
	held, isHeld := r.earlier[key]
	switch {
	case !isHeld:
		return *current, true
	case current == nil && !held.Removed && !r.settled:
		return held, true
	case current == nil:
		delete(r.earlier, key)
		return Item{}, false
	case r.isFresh(held, *current):
		delete(r.earlier, key)
		return *current, true
	case !r.settled || r.hasGone(held, *current):
		if r.settled && !held.Removed && !r.sameRun(held, *current) {
			// The run that was held is not listed either.
			held.Removed = true
			r.earlier[key] = held
		}
		return held, !held.Removed
	default:
		delete(r.earlier, key)
		return *current, true
	}
}

// isFresh reports whether a listed item is not older than what is held: it is the same, or was
// written after the restore.
func (r *restoration) isFresh(held, current Item) bool {
	// If the copy includes the revision of the held item, a later one is newer. If not, all
	// revisions after it were assigned after the restore, and so was this one if the values
	// differ.
	if current.Revision >= r.freshFrom || current.Revision == held.Revision && !held.Removed {
		return true
	}
	return r.isNewer(held, current)
}

// isNewer reports whether an item is certainly newer than what is held: it has a higher revision,
// or it names a run of a server that has started later.
func (r *restoration) isNewer(held, item Item) bool {
	if item.Revision > held.Revision {
		return true
	}
	old, next := r.entry(held), r.entry(item)
	return old != nil && next != nil && old.Started > 0 && next.Started > old.Started
}

// hasGone reports whether the run of a server that the copy lists is known to have gone or to
// drain.
func (r *restoration) hasGone(held, current Item) bool {
	next := r.entry(current)
	if next == nil {
		return false
	}
	if held.Removed {
		return true
	}
	old := r.entry(held)
	return old != nil && (old.Server.State == membership.StateLeaving || !r.sameRun(held, current))
}

func (r *restoration) sameRun(held, current Item) bool {
	old, next := r.entry(held), r.entry(current)
	return old != nil && next != nil && old.Started == next.Started && old.Server.Address == next.Server.Address
}

// entry returns the entry of a server in an item, nil for other items. A removed item has the
// value that it had before.
func (r *restoration) entry(item Item) *directory.Entry {
	item.Removed = false
	return r.decoder.Decode(item).Entry
}
