package feed

import (
	"context"
	"time"
)

// AllItems returns all items that this instance knows, to be sent to another instance.
// It returns false before the first complete read.
func (f *Follower) AllItems() (Batch, bool) {
	b, confirmed, ok := f.cache.all()
	now := f.clock.now()
	b.Age = viewAge(now, confirmed)
	b.Restored = f.restored.state(now)
	if b.Restored != nil && f.storeTableIsOlder() {
		b.Restored.Table = &f.table.Load().item
	}
	return b, ok
}

// ChangesAfter returns the changes after a position, to be sent to another instance.
// While this instance has lost the store, ChangesAfter returns at once with a stale age,
// so that the followers of this instance change to another source.
func (f *Follower) ChangesAfter(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	f.mu.Lock()
	storeLost := f.storeLost
	f.mu.Unlock()
	b, confirmed, err := f.cache.waitForChanges(ctx, after, wait, storeLost)
	b.Age = f.ageForPeers(confirmed, storeLost)
	return b, err
}

// ageForPeers returns the age of a view that is sent to another instance: a stale one while
// this instance has lost the store.
func (f *Follower) ageForPeers(confirmed time.Time, storeLost <-chan struct{}) time.Duration {
	age := viewAge(f.clock.now(), confirmed)
	select {
	case <-storeLost:
		return max(age, maxPeerViewAge+time.Millisecond)
	default:
		return age
	}
}

// viewAge returns the age of a view that was confirmed as of a time, which is zero before the
// first confirmation.
func viewAge(now, confirmed time.Time) time.Duration {
	if confirmed.IsZero() {
		return unconfirmedAge
	}
	return now.Sub(confirmed)
}

// setStoreLost records whether the store does not answer this instance.
func (f *Follower) setStoreLost(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.storeLost:
		if !lost {
			f.storeLost = make(chan struct{})
		}
	default:
		if lost {
			close(f.storeLost)
		}
	}
}
