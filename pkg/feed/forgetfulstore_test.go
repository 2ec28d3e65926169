package feed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// forget makes a change whose history is dropped before any watch returns it.
func (s *fakeStore) forget(key, value string) {
	s.cache.mu.Lock()
	defer s.cache.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRevision++
	item := Item{Key: key, Value: []byte(value), Revision: s.lastRevision, Removed: value == ""}
	if item.Removed {
		delete(s.cache.items, key)
	} else {
		s.cache.items[key] = item
	}
	s.cache.position.Revision, s.cache.changesFrom, s.cache.changes = item.Revision, item.Revision, nil
	s.cache.notifyLocked()
}

// The store drops its history again and again, each time with a change that no watch has heard, and
// the last change is that a server drains. Guards against an instance that reaches the store, or
// one that does, and hears of nothing for seconds because it spaces its complete reads: it sends
// requests to servers that drain. Also guards against complete reads without a bound.
func TestChangesTakeEffectSoonWhileTheStoreForgets(t *testing.T) {
	for _, interval := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 1600 * time.Millisecond, 4 * time.Second, 9 * time.Second} {
		for _, times := range []int{1, 4, 7, 40} {
			t.Run(fmt.Sprintf("%d times each %v", times, interval), func(t *testing.T) {
				simulate(t, func(ctx context.Context, store *fakeStore) {
					reader := startFollower(ctx, store, noPeers{})
					<-reader.Ready()
					follower := startFollower(ctx, store, onePeer{followed: reader})
					<-follower.Ready()
					began, before := time.Now(), store.readCount()
					for n := range times {
						store.forget("server/b", []string{"live", "leaving"}[n%2])
						time.Sleep(interval)
					}
					store.forget("server/a", "leaving")
					store.forget("server/b", "live")
					for i, f := range []*Follower{reader, follower} {
						for end := time.Now().Add(maxViewDelay); usableServers(f) != "b"; time.Sleep(10 * time.Millisecond) {
							assert.Assert(t, time.Now().Before(end), "instance %d uses %q, and its view is %v old", i, usableServers(f), f.Age())
						}
					}
					reads, limit := store.readCount()-before, 5+int(time.Since(began)/maxStoreReadPause)
					assert.Assert(t, reads <= min(limit, times+2), "%d complete reads of the store in %v", reads, time.Since(began))
				})
			})
		}
	}
}
