package feed

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxCachedChanges bounds the recent changes kept for other instances. All servers of a
// deployment change a few times a day.
const maxCachedChanges = 4096

// watchCache holds all items and their recent changes, from which this instance answers
// the reads and watches of other instances. It is safe for concurrent use.
type watchCache struct {
	mu    sync.Mutex
	items map[string]Item
	// removed holds the last maxCachedChanges items that were removed, with the value that they
	// had before. A restored copy of the store may still have them.
	removed     map[string]Item
	changes     []Item // oldest first
	changesFrom int64  // all changes after this revision are in changes
	position    Position
	confirmed   time.Time // as of which the store has confirmed that there is no newer change
	synced      bool
	changed     chan struct{} // closed and replaced at each change
}

func newWatchCache() *watchCache {
	return &watchCache{items: make(map[string]Item), removed: make(map[string]Item), changed: make(chan struct{})}
}

// replace replaces all items by a complete list, confirmed as of a time, and drops the recent
// changes. Items that are not listed count as removed.
func (c *watchCache) replace(b Batch, confirmed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]Item, len(b.Items))
	for _, item := range b.Items {
		listed[item.Key] = item
		delete(c.removed, item.Key)
	}
	for key, item := range c.items {
		if _, ok := listed[key]; !ok {
			c.rememberRemovedLocked(item, max(item.Revision, b.Position.Revision))
		}
	}
	c.items = listed
	c.changes = nil
	c.changesFrom, c.position, c.synced = b.Position.Revision, b.Position, true
	c.confirmLocked(confirmed)
	c.notifyLocked()
}

// news returns the changes of a batch after the cache's position, and those of them that it
// does not hold: a complete read can include changes after its position.
func (c *watchCache) news(b Batch) (changes, unseen []Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range b.Items {
		if item.Revision <= c.position.Revision {
			continue
		}
		changes = append(changes, item)
		if known, ok := c.items[item.Key]; !ok || known.Revision < item.Revision {
			unseen = append(unseen, item)
		}
	}
	return changes, unseen
}

// add appends the changes that news has returned, as of a revision and confirmed as of a time.
// They include those that the cache already holds, since instances that follow this one may
// stand between its last complete read and the change.
func (c *watchCache) add(changes []Item, revision int64, confirmed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range changes {
		c.changes = append(c.changes, item)
		if item.Removed {
			if before, ok := c.items[item.Key]; ok {
				c.rememberRemovedLocked(before, item.Revision)
			}
			delete(c.items, item.Key)
		} else {
			c.items[item.Key] = item
			delete(c.removed, item.Key)
		}
	}
	c.position.Revision = max(c.position.Revision, revision)
	c.confirmLocked(confirmed)
	if surplus := len(c.changes) - maxCachedChanges; surplus > 0 {
		c.changesFrom = c.changes[surplus-1].Revision
		c.changes = slices.Clone(c.changes[surplus:])
	}
	if len(changes) > 0 {
		c.notifyLocked()
	}
}

// rememberRemoved records that items which were held after a restore are no longer used, unless
// the store lists them.
func (c *watchCache) rememberRemoved(items []Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range items {
		if _, listed := c.items[item.Key]; item.Removed && !listed {
			c.rememberRemovedLocked(item, item.Revision)
		}
	}
}

// rememberRemovedLocked records the removal of an item at a revision.
func (c *watchCache) rememberRemovedLocked(item Item, revision int64) {
	item.Removed, item.Revision = true, revision
	c.removed[item.Key] = item
	if len(c.removed) <= maxCachedChanges {
		return
	}
	oldest := item
	for _, other := range c.removed {
		if other.Revision < oldest.Revision {
			oldest = other
		}
	}
	delete(c.removed, oldest.Key)
}

// confirmLocked moves the time of the confirmation forward. It never goes back.
func (c *watchCache) confirmLocked(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}

// known returns what the cache knows of the history.
func (c *watchCache) known() knownHistory {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := knownHistory{latest: maps.Clone(c.removed), writes: slices.Clone(c.changes)}
	for key, item := range c.items {
		known.latest[key] = item
		known.writes = append(known.writes, item)
	}
	return known
}

// item returns the store's item of a key.
func (c *watchCache) item(key string) (Item, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	item, ok := c.items[key]
	return item, ok
}

func (c *watchCache) notifyLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// all returns all items and the time as of which they are confirmed; ok is false before the
// first complete list.
func (c *watchCache) all() (b Batch, confirmed time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range c.items {
		b.Items = append(b.Items, item)
	}
	slices.SortFunc(b.Items, func(x, y Item) int { return strings.Compare(x.Key, y.Key) })
	b.Position = c.position
	return b, c.confirmed, c.synced
}

// waitForChanges returns the changes after a position, and the time as of which they are
// confirmed. If there are none, it waits for one until wait has passed or stop is closed.
func (c *watchCache) waitForChanges(ctx context.Context, after Position, wait time.Duration, stop <-chan struct{}) (Batch, time.Time, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		b, confirmed, changed, err := c.changesAfter(after)
		if err != nil || timedOut || changed == nil || len(b.Items) > 0 {
			return b, confirmed, err
		}
		select {
		case <-changed:
		case <-timer.C:
			// The confirmation may have moved on since.
			timedOut = true
		case <-stop:
			timedOut = true
		case <-ctx.Done():
			return Batch{}, time.Time{}, ctx.Err()
		}
	}
}

// changesAfter returns the known changes after a position with the time as of which they are
// confirmed, and a channel that is closed at the next change. The channel is nil if the
// position is in a later era, of which this cache knows nothing.
func (c *watchCache) changesAfter(after Position) (Batch, time.Time, chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	after = after.orInEra(c.position.Era)
	switch {
	case !c.synced:
		return Batch{}, time.Time{}, nil, ErrNoView
	case after.Era > c.position.Era:
		return Batch{Position: c.position}, c.confirmed, nil, nil
	case after.Era < c.position.Era || after.Revision < c.changesFrom:
		return Batch{}, time.Time{}, nil, &HistoryGoneError{Era: c.position.Era}
	}
	b := Batch{Position: Position{Era: c.position.Era, Revision: max(c.position.Revision, after.Revision)}}
	for _, item := range c.changes {
		if item.Revision > after.Revision {
			b.Items = append(b.Items, item)
		}
	}
	return b, c.confirmed, c.changed, nil
}
