package feed

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

// propagationTime is well below the 3 s in which a change has to take effect.
const propagationTime = time.Second

// simulate runs a test on a virtual clock with a store that holds a table and two
// servers.
func simulate(t *testing.T, f func(ctx context.Context, store *fakeStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Minute)
		defer cancel()
		store := newFakeStore()
		store.write("table", "1")
		store.write("server/a", "live")
		store.write("server/b", "live")
		f(ctx, store)
	})
}

// Guards against changes that take effect late or never.
func TestChangesTakeEffectSoon(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := startFollower(ctx, store, noPeers{})
		<-f.Ready()
		assert.Equal(t, usableServers(f), "a b")
		store.write("table", "2")
		store.write("server/a", "leaving")
		time.Sleep(propagationTime)
		assert.Equal(t, f.Table().Version(), int64(2))
		assert.Equal(t, usableServers(f), "b")
	})
}

// Guards against replacing the table by an older version.
func TestTableNeverGoesBack(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := startFollower(ctx, store, noPeers{})
		store.write("table", "5")
		time.Sleep(propagationTime)
		store.write("table", "4")
		time.Sleep(propagationTime)
		assert.Equal(t, f.Table().Version(), int64(5))
	})
}

// Guards against missing changes whose history the store has discarded while it was
// unavailable.
func TestHistoryIsGone(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := startFollower(ctx, store, noPeers{})
		<-f.Ready()
		store.setDown(true)
		time.Sleep(5 * time.Second)
		store.write("server/a", "")
		store.write("server/c", "live")
		store.dropHistory()
		store.setDown(false)
		time.Sleep(propagationTime)
		assert.Equal(t, usableServers(f), "b c")
	})
}

// Guards against dropping the view while the store is unavailable, and against treating
// an old view as confirmed, which would refuse requests for routes that have been added
// since.
func TestStoreIsUnavailable(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := startFollower(ctx, store, noPeers{})
		<-f.Ready()
		store.setDown(true)
		time.Sleep(10 * time.Second)
		assert.Equal(t, usableServers(f), "a b")
		table, confirmed := f.Confirm(ctx)
		assert.Equal(t, table.Version(), int64(1))
		assert.Assert(t, !confirmed)
		store.setDown(false)
		store.write("table", "2")
		table, confirmed = f.Confirm(ctx)
		assert.Equal(t, table.Version(), int64(2))
		assert.Assert(t, confirmed)
	})
}

// After a power failure of all instances, requests reach the first instance while it
// starts. Guards against answering them with a table but without its servers.
func TestRequestsOfAStartingInstanceWaitForTableAndServers(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := NewFollower(store, noPeers{}, fakeDecoder{}, directory.New(3*time.Second, time.Now), slog.New(slog.DiscardHandler))
		known := make(chan string, 1)
		go func() {
			_, _ = f.Confirm(ctx)
			known <- usableServers(f)
		}()
		go func() {
			time.Sleep(50 * time.Millisecond)
			_ = f.Serve(ctx)
		}()
		assert.Equal(t, <-known, "a b")
	})
}

// An instance starts again beside one that has lost the store, and takes its view from that
// one. Guards against serving requests by the old view, with servers that have left meanwhile,
// while the store would give a new one.
func TestStartingInstanceDoesNotServeByAnOldView(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		lost := newFakeStore()
		lost.write("table", "1")
		lost.write("server/a", "live")
		lost.write("server/b", "live")
		reader := startFollower(ctx, lost, noPeers{})
		<-reader.Ready()
		lost.setDown(true)
		store.write("server/a", "")
		time.Sleep(time.Minute)
		f := startFollower(ctx, store, onePeer{followed: reader})
		<-f.Ready()
		assert.Equal(t, usableServers(f), "b")
		assert.Assert(t, f.Age() < maxPeerViewAge, "%v", f.Age())
	})
}

// No instance reaches the store. Guards against an instance that never gets ready beside
// others that have a view, although an old one.
func TestStartingInstanceUsesAnOldViewWithoutTheStore(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		reader := startFollower(ctx, store, noPeers{})
		<-reader.Ready()
		store.setDown(true)
		time.Sleep(time.Minute)
		f := startFollower(ctx, store, onePeer{followed: reader})
		began := time.Now()
		<-f.Ready()
		assert.Assert(t, time.Since(began) < propagationTime, "%v", time.Since(began))
		assert.Equal(t, usableServers(f), "a b")
	})
}

// Guards against flooding an unavailable store with calls.
func TestCallsAreSpacedWhileTheStoreIsUnavailable(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		store.setDown(true)
		startFollower(ctx, store, noPeers{})
		time.Sleep(30 * time.Second)
		assert.Assert(t, store.callCount() < 30*3, "%d calls", store.callCount())
	})
}

// Guards against an unreadable entry that makes the instance ignore the other entries.
func TestUnreadableEntryNamesNoServer(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := startFollower(ctx, store, noPeers{})
		<-f.Ready()
		store.write("server/a", "garbage")
		store.write("server/c", "live")
		time.Sleep(propagationTime)
		assert.Equal(t, usableServers(f), "b c")
	})
}

// Guards against calls to the store that grow with the number of instances, and against
// changes that reach the followers late.
func TestFollowersDoNotCallTheStore(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		reader := startFollower(ctx, store, noPeers{})
		<-reader.Ready()
		var followers []*Follower
		for range 10 {
			f := startFollower(ctx, store, onePeer{followed: reader})
			<-f.Ready()
			followers = append(followers, f)
		}
		before := store.callCount()
		time.Sleep(20 * time.Second)
		assert.Assert(t, store.callCount()-before <= 20, "%d calls", store.callCount()-before)
		store.write("table", "2")
		store.write("server/a", "leaving")
		time.Sleep(propagationTime)
		for _, f := range followers {
			assert.Equal(t, f.Table().Version(), int64(2))
			assert.Equal(t, usableServers(f), "b")
			assert.Assert(t, f.Age() < maxPeerViewAge)
		}
	})
}

// A change follows a quiet period, so that the reader's view is almost as old as a watch
// is long. Guards against passing the change on with the age of the view before it: the
// followers would conclude that the reader has lost the store, and would call the store
// themselves.
func TestChangeReachesFollowersWithItsOwnAge(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		reader := NewFollower(store, noPeers{}, slowDecoder{}, directory.New(3*time.Second, time.Now), slog.New(slog.DiscardHandler))
		go func() { _ = reader.Serve(ctx) }()
		<-reader.Ready()
		f := startFollower(ctx, store, onePeer{followed: reader})
		<-f.Ready()
		// The view is oldest right before the end of a watch of the store.
		for reader.Age() < storeWatchWait {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(maxReplyDelay / 2)
		before := store.callCount()
		store.write("server/a", "leaving")
		time.Sleep(decodeTime * 2)
		assert.Equal(t, usableServers(f), "b")
		assert.Assert(t, f.Age() < maxPeerViewAge-storeWatchWait/2, "%v", f.Age())
		assert.Assert(t, store.callCount()-before <= 1)
	})
}

// The store refuses some instances and serves the others. Guards against following an
// instance that has lost the store.
func TestFollowerLeavesAnInstanceThatHasLostTheStore(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		failingStore := newFakeStore()
		failingStore.write("table", "1")
		reader := startFollower(ctx, failingStore, noPeers{})
		<-reader.Ready()
		f := startFollower(ctx, store, onePeer{followed: reader})
		<-f.Ready()
		failingStore.setDown(true)
		store.write("table", "2")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, f.Table().Version(), int64(2))
		// The follower stays up to date while the store still refuses the reader.
		time.Sleep(10 * time.Second)
		store.write("table", "3")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, f.Table().Version(), int64(3))
	})
}

// The reader of a zone with many instances has lost the store. Guards against calls to
// the store from all of the instances, and against changes that are late meanwhile.
func TestStandbyReadsTheStoreForTheOthers(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		failingStore := newFakeStore()
		failingStore.write("table", "1")
		reader := startFollower(ctx, failingStore, noPeers{})
		<-reader.Ready()
		standby := startFollower(ctx, store, onePeer{followed: reader})
		var followers []*Follower
		for range 20 {
			followers = append(followers, startFollower(ctx, store, readerWithStandby{onePeer: onePeer{followed: reader}, standby: standby}))
		}
		for _, f := range followers {
			<-f.Ready()
		}
		before := store.callCount()
		failingStore.setDown(true)
		time.Sleep(2 * time.Second)
		store.write("table", "2")
		time.Sleep(propagationTime)
		for _, f := range followers {
			assert.Equal(t, f.Table().Version(), int64(2))
			assert.Assert(t, f.Age() < maxPeerViewAge, "%v", f.Age())
		}
		time.Sleep(10 * time.Second)
		// The standby watches the store every 1.7 s, and twice after each retry of the reader.
		assert.Assert(t, store.callCount()-before <= 20, "%d calls", store.callCount()-before)
	})
}

// The store refuses all calls for a while. Guards against calls that grow with the number of
// instances of a zone, and against instances that do not notice soon that it is back.
func TestCallsToAnUnavailableStoreDoNotGrowWithTheZone(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		const instances, outage = 100, 20 * time.Second
		reader, standby := startFollower(ctx, store, noPeers{}), startFollower(ctx, store, noPeers{})
		<-reader.Ready()
		<-standby.Ready()
		var followers []*Follower
		for range instances {
			f := startFollower(ctx, store, largeZone{readerWithStandby{onePeer{followed: reader}, standby}, instances})
			<-f.Ready()
			followers = append(followers, f)
		}
		before := store.callCount()
		store.setDown(true)
		time.Sleep(outage)
		// The readers retry after 0.9 s at most, the others take turns.
		allowed := int(outage/storeCallSpacing) + 2*int(outage/(maxBackoff/2))
		assert.Assert(t, store.callCount()-before <= allowed, "%d calls, allowed %d", store.callCount()-before, allowed)
		store.setDown(false)
		store.write("table", "2")
		time.Sleep(3 * time.Second)
		for _, f := range followers {
			assert.Equal(t, f.Table().Version(), int64(2))
		}
	})
}

// The store turns the reader and the standby readers of a very large zone away, and nobody has
// a view to give. Guards against turns that are put off again and again, so that an instance
// never calls the store, which would answer it.
func TestTurnsAtTheStoreComeInTheEnd(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		const instances = 200
		refused := newFakeStore()
		refused.write("table", "1")
		reader, standby := startFollower(ctx, refused, noPeers{}), startFollower(ctx, refused, noPeers{})
		<-reader.Ready()
		<-standby.Ready()
		var followers []*Follower
		for range 20 {
			f := startFollower(ctx, store, largeZone{readerWithStandby{onePeer{followed: reader}, standby}, instances})
			<-f.Ready()
			followers = append(followers, f)
		}
		refused.setDown(true)
		store.write("table", "2")
		// Each has its turn within 1.5 times the mean, and the reader is tried before.
		time.Sleep(3*instances/2*storeCallSpacing + 2*readerBackoff)
		for _, f := range followers {
			assert.Equal(t, f.Table().Version(), int64(2))
		}
	})
}

// All instances of a zone start again while the store is unavailable, and none has a view to
// give. Guards against instances that stay without a view for long after the store is back,
// since they take turns.
func TestInstancesWithoutAViewDoNotTakeTurns(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		const instances = 100
		store.setDown(true)
		withoutView := NewFollower(store, noPeers{}, fakeDecoder{}, directory.New(3*time.Second, time.Now), slog.New(slog.DiscardHandler))
		var followers []*Follower
		for range instances {
			zone := largeZone{readerWithStandby{onePeer{followed: withoutView}, withoutView}, instances}
			followers = append(followers, startFollower(ctx, store, zone))
		}
		time.Sleep(10 * time.Second)
		store.setDown(false)
		back := time.Now()
		for _, f := range followers {
			<-f.Ready()
		}
		// A change has 3 s to take effect.
		assert.Assert(t, time.Since(back) <= 3*time.Second, "%v", time.Since(back))
	})
}

// Guards against following a standby reader that has lost the store as well.
func TestFailedStandbyIsAbandoned(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		failingStore := newFakeStore()
		failingStore.write("table", "1")
		reader := startFollower(ctx, failingStore, noPeers{})
		standby := startFollower(ctx, failingStore, noPeers{})
		<-reader.Ready()
		<-standby.Ready()
		f := startFollower(ctx, store, readerWithStandby{onePeer: onePeer{followed: reader}, standby: standby})
		<-f.Ready()
		failingStore.setDown(true)
		store.write("table", "2")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, f.Table().Version(), int64(2))
	})
}

// The store refuses an instance that reads it itself, and serves others. Guards against
// keeping an old view although other instances have the new one.
func TestInstanceRefusedByTheStoreFollowsAnother(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		reader := startFollower(ctx, store, noPeers{})
		<-reader.Ready()
		failingStore := newFakeStore()
		failingStore.setDown(true)
		f := startFollower(ctx, failingStore, onePeer{followed: reader, onlyAsFallback: true})
		store.write("table", "2")
		time.Sleep(propagationTime)
		assert.Assert(t, f.Table() != nil)
		assert.Equal(t, f.Table().Version(), int64(2))
		store.write("table", "3")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, f.Table().Version(), int64(3))
	})
}

// Guards, for any order of writes and of discarded history, against changes from the
// cache that do not add up to its items.
func TestWatchCacheChangesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		seen := map[string]string{}
		var at Position
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for range rapid.IntRange(0, 4).Draw(t, "writes") {
				key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
				store.write(key, rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value"))
			}
			if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
				store.dropHistory()
			}
			b, _, _, err := store.cache.changesAfter(at)
			if err != nil {
				assert.ErrorIs(t, err, ErrHistoryGone)
				all, _, _ := store.cache.all()
				b, seen = all, map[string]string{}
			}
			for _, item := range b.Items {
				if item.Removed {
					delete(seen, item.Key)
				} else {
					seen[item.Key] = string(item.Value)
				}
			}
			at = b.Position
			want := map[string]string{}
			all, _, _ := store.cache.all()
			for _, item := range all.Items {
				want[item.Key] = string(item.Value)
			}
			assert.DeepEqual(t, seen, want)
		}
	})
}

// Guards against a starting instance that holds requests until their callers give up while the
// store is away: after a loss of all instances beside an outage of the store, a tenth of the
// requests of a window ended at the caller's deadline without an answer.
func TestStartWithoutTheStoreHoldsNoRequest(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		store.setDown(true)
		f := startFollower(ctx, store, noPeers{})
		time.Sleep(propagationTime)
		began := time.Now()
		waiting, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, ready := f.Confirm(waiting)
		assert.Assert(t, !ready)
		assert.Equal(t, time.Since(began), time.Duration(0))
		store.setDown(false)
		<-f.Ready()
		table, ready := f.Confirm(ctx)
		assert.Assert(t, ready)
		assert.Equal(t, table.Version(), int64(1))
	})
}
