package feed

import (
	"context"
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
	mu          sync.Mutex
	items       map[string]Item
	changes     []Item // oldest first
	changesFrom int64  // all changes after this revision are in changes
	revision    int64
	synced      bool
	changed     chan struct{} // closed and replaced at each change
}

func newWatchCache() *watchCache {
	return &watchCache{items: make(map[string]Item), changed: make(chan struct{})}
}

// replace replaces all items by a complete list and drops the recent changes.
func (c *watchCache) replace(b Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]Item, len(b.Items))
	for _, item := range b.Items {
		listed[item.Key] = item
	}
	c.items = listed
	c.changes = nil
	c.changesFrom, c.revision, c.synced = b.Revision, b.Revision, true
	c.notifyLocked()
}

// unseen returns the items of a batch that are newer than those in the cache.
func (c *watchCache) unseen(b Batch) []Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unseen []Item
	for _, item := range b.Items {
		if known, ok := c.items[item.Key]; !ok || known.Revision < item.Revision {
			unseen = append(unseen, item)
		}
	}
	return unseen
}

// add appends changes that unseen has returned, as of a revision.
func (c *watchCache) add(changes []Item, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range changes {
		c.changes = append(c.changes, item)
		if item.Removed {
			delete(c.items, item.Key)
		} else {
			c.items[item.Key] = item
		}
	}
	c.revision = max(c.revision, revision)
	if surplus := len(c.changes) - maxCachedChanges; surplus > 0 {
		c.changesFrom = c.changes[surplus-1].Revision
		c.changes = slices.Clone(c.changes[surplus:])
	}
	if len(changes) > 0 {
		c.notifyLocked()
	}
}

func (c *watchCache) notifyLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// all returns all items; ok is false before the first complete list.
func (c *watchCache) all() (b Batch, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range c.items {
		b.Items = append(b.Items, item)
	}
	slices.SortFunc(b.Items, func(x, y Item) int { return strings.Compare(x.Key, y.Key) })
	b.Revision = c.revision
	return b, c.synced
}

// waitForChanges returns the changes after a revision. If there are none, it waits for
// one until wait has passed or stop is closed.
func (c *watchCache) waitForChanges(ctx context.Context, revision int64, wait time.Duration, stop <-chan struct{}) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, err := c.changesAfter(revision)
		if err != nil || len(b.Items) > 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return b, nil
		case <-stop:
			return b, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// changesAfter returns the known changes after a revision, and a channel that is closed
// at the next change.
func (c *watchCache) changesAfter(revision int64) (Batch, chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced || revision < c.changesFrom {
		return Batch{}, nil, ErrHistoryGone
	}
	b := Batch{Revision: max(c.revision, revision)}
	for _, item := range c.changes {
		if item.Revision > revision {
			b.Items = append(b.Items, item)
		}
	}
	return b, c.changed, nil
}
