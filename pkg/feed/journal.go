package feed

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// journalChanges bounds the changes that are kept for other instances. A
// deployment's servers all change a few times a day.
const journalChanges = 4096

// journal holds all items and their recent changes for other instances. It is
// safe for concurrent use.
type journal struct {
	mu       sync.Mutex
	items    map[string]Item
	changes  []Item // oldest first
	from     int64  // changes after this revision are in changes
	revision int64
	synced   bool
	changed  chan struct{} // closed and replaced at each change
}

func newJournal() *journal {
	return &journal{items: make(map[string]Item), changed: make(chan struct{})}
}

// replace takes over a complete list.
func (j *journal) replace(b Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	listed := make(map[string]Item, len(b.Items))
	for _, item := range b.Items {
		listed[item.Key] = item
	}
	j.items = listed
	j.changes = nil
	j.from, j.revision, j.synced = b.Revision, b.Revision, true
	j.wakeLocked()
}

// unknown returns the changes of a batch that are not in the journal yet.
func (j *journal) unknown(b Batch) []Item {
	j.mu.Lock()
	defer j.mu.Unlock()
	var fresh []Item
	for _, item := range b.Items {
		if known, ok := j.items[item.Key]; !ok || known.Revision < item.Revision {
			fresh = append(fresh, item)
		}
	}
	return fresh
}

// add takes over changes that unknown has returned, as of a revision.
func (j *journal) add(fresh []Item, revision int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, item := range fresh {
		j.changes = append(j.changes, item)
		if item.Removed {
			delete(j.items, item.Key)
		} else {
			j.items[item.Key] = item
		}
	}
	j.revision = max(j.revision, revision)
	if surplus := len(j.changes) - journalChanges; surplus > 0 {
		j.from = j.changes[surplus-1].Revision
		j.changes = slices.Clone(j.changes[surplus:])
	}
	if len(fresh) > 0 {
		j.wakeLocked()
	}
}

func (j *journal) wakeLocked() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// everything returns all items, ok false before the first list.
func (j *journal) everything() (b Batch, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, item := range j.items {
		b.Items = append(b.Items, item)
	}
	slices.SortFunc(b.Items, func(x, y Item) int { return strings.Compare(x.Key, y.Key) })
	b.Revision = j.revision
	return b, j.synced
}

// after returns the changes after a revision, waiting for one if there is none
// until the wait is over or stop is closed.
func (j *journal) after(ctx context.Context, revision int64, wait time.Duration, stop <-chan struct{}) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, err := j.since(revision)
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

func (j *journal) since(revision int64) (Batch, chan struct{}, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.synced || revision < j.from {
		return Batch{}, nil, ErrHistoryGone
	}
	b := Batch{Revision: max(j.revision, revision)}
	for _, item := range j.changes {
		if item.Revision > revision {
			b.Items = append(b.Items, item)
		}
	}
	return b, j.changed, nil
}
