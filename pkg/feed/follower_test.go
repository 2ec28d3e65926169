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

const soon = time.Second // far below the 3 s in which a change takes effect

// simulate runs a test on a virtual clock with a store that has a table and two
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

// Guards against changes that take effect late or not at all.
func TestChangesTakeEffectSoon(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := start(ctx, store, noPeers{})
		<-f.Ready()
		assert.Equal(t, servers(f), "a b")
		store.write("table", "2")
		store.write("server/a", "leaving")
		time.Sleep(soon)
		assert.Equal(t, f.Table().Version(), int64(2))
		assert.Equal(t, servers(f), "b")
	})
}

// Guards against a table that goes back to an older version.
func TestTableNeverGoesBack(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := start(ctx, store, noPeers{})
		store.write("table", "5")
		time.Sleep(soon)
		store.write("table", "4")
		time.Sleep(soon)
		assert.Equal(t, f.Table().Version(), int64(5))
	})
}

// Guards against missing what changed while the history was dropped.
func TestHistoryIsGone(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := start(ctx, store, noPeers{})
		<-f.Ready()
		store.setDown(true)
		time.Sleep(5 * time.Second)
		store.write("server/a", "")
		store.write("server/c", "live")
		store.forget()
		store.setDown(false)
		time.Sleep(soon)
		assert.Equal(t, servers(f), "b c")
	})
}

// Guards against losing the view while the store is away, and against a request
// without a route that is refused by an old view.
func TestStoreIsAway(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := start(ctx, store, noPeers{})
		<-f.Ready()
		store.setDown(true)
		time.Sleep(10 * time.Second)
		assert.Equal(t, servers(f), "a b")
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

// The pattern: all instances have lost power and callers wait for the first one.
// Guards against answering them by a table without its servers.
func TestRequestsOfAStartingInstanceWaitForTableAndServers(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := NewFollower(store, noPeers{}, fakeDecoder{}, directory.New(3*time.Second, time.Now), slog.New(slog.DiscardHandler))
		known := make(chan string, 1)
		go func() {
			_, _ = f.Confirm(ctx)
			known <- servers(f)
		}()
		go func() {
			time.Sleep(50 * time.Millisecond)
			_ = f.Serve(ctx)
		}()
		assert.Equal(t, <-known, "a b")
	})
}

// Guards against calls that flood a store which is away.
func TestCallsAreSpacedWhileTheStoreIsAway(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		store.setDown(true)
		start(ctx, store, noPeers{})
		time.Sleep(30 * time.Second)
		assert.Assert(t, store.called() < 30*3, "%d calls", store.called())
	})
}

// Guards against one unreadable entry that hides the others.
func TestUnreadableEntryNamesNoServer(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := start(ctx, store, noPeers{})
		<-f.Ready()
		store.write("server/a", "garbage")
		store.write("server/c", "live")
		time.Sleep(soon)
		assert.Equal(t, servers(f), "b c")
	})
}

// The pattern: many instances. Guards against calls to the store that grow with
// them, and against changes that are late at the followers.
func TestFollowersDoNotCallTheStore(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		reader := start(ctx, store, noPeers{})
		<-reader.Ready()
		var followers []*Follower
		for range 10 {
			f := start(ctx, store, onePeer{followed: reader})
			<-f.Ready()
			followers = append(followers, f)
		}
		before := store.called()
		time.Sleep(20 * time.Second)
		assert.Assert(t, store.called()-before <= 20, "%d calls", store.called()-before)
		store.write("table", "2")
		store.write("server/a", "leaving")
		time.Sleep(soon)
		for _, f := range followers {
			assert.Equal(t, f.Table().Version(), int64(2))
			assert.Equal(t, servers(f), "b")
			assert.Assert(t, f.Age() < staleAge)
		}
	})
}

// The pattern: a change after a quiet time, when the reader's view is almost as old
// as its watch is long. Guards against followers that are given the change with the
// age of before it: they would take the reader for one that has lost the store, and
// call the store themselves.
func TestChangeReachesFollowersWithItsOwnAge(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		reader := NewFollower(store, noPeers{}, slowDecoder{}, directory.New(3*time.Second, time.Now), slog.New(slog.DiscardHandler))
		go func() { _ = reader.Serve(ctx) }()
		<-reader.Ready()
		f := start(ctx, store, onePeer{followed: reader})
		<-f.Ready()
		// Right before the end of a watch of the store the view is oldest.
		for reader.Age() < storeHold {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(replyDelay / 2)
		before := store.called()
		store.write("server/a", "leaving")
		time.Sleep(decodeTime * 2)
		assert.Equal(t, servers(f), "b")
		assert.Assert(t, f.Age() < staleAge-storeHold/2, "%v", f.Age())
		assert.Assert(t, store.called()-before <= 1)
	})
}

// The pattern: the store turns some instances away and serves the others. Guards
// against following an instance that has lost the store.
func TestFollowerLeavesAnInstanceThatHasLostTheStore(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		turnedAway := newFakeStore()
		turnedAway.write("table", "1")
		reader := start(ctx, turnedAway, noPeers{})
		<-reader.Ready()
		f := start(ctx, store, onePeer{followed: reader})
		<-f.Ready()
		turnedAway.setDown(true)
		store.write("table", "2")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, f.Table().Version(), int64(2))
		// It stays up to date while the reader remains turned away.
		time.Sleep(10 * time.Second)
		store.write("table", "3")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, f.Table().Version(), int64(3))
	})
}

// The pattern: a zone of many instances whose reader has lost the store. Guards
// against all of them calling the store, and against changes that are late meanwhile.
func TestDeputyReadsTheStoreForTheOthers(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		turnedAway := newFakeStore()
		turnedAway.write("table", "1")
		reader := start(ctx, turnedAway, noPeers{})
		<-reader.Ready()
		deputy := start(ctx, store, onePeer{followed: reader})
		var followers []*Follower
		for range 20 {
			followers = append(followers, start(ctx, store, deputised{onePeer: onePeer{followed: reader}, deputy: deputy}))
		}
		for _, f := range followers {
			<-f.Ready()
		}
		before := store.called()
		turnedAway.setDown(true)
		time.Sleep(2 * time.Second)
		store.write("table", "2")
		time.Sleep(soon)
		for _, f := range followers {
			assert.Equal(t, f.Table().Version(), int64(2))
			assert.Assert(t, f.Age() < staleAge, "%v", f.Age())
		}
		time.Sleep(10 * time.Second)
		// A watch of the store every 1.7 s, and two at each look for the reader.
		assert.Assert(t, store.called()-before <= 20, "%d calls", store.called()-before)
	})
}

// Guards against waiting for a deputy that has lost the store as well.
func TestDeputyThatFailsIsLeft(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		turnedAway := newFakeStore()
		turnedAway.write("table", "1")
		reader := start(ctx, turnedAway, noPeers{})
		deputy := start(ctx, turnedAway, noPeers{})
		<-reader.Ready()
		<-deputy.Ready()
		f := start(ctx, store, deputised{onePeer: onePeer{followed: reader}, deputy: deputy})
		<-f.Ready()
		turnedAway.setDown(true)
		store.write("table", "2")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, f.Table().Version(), int64(2))
	})
}

// The same pattern the other way round: an instance that reads the store itself is
// turned away. Guards against keeping an old view although others have the new one.
func TestInstanceThatIsTurnedAwayFollowsAnother(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		reader := start(ctx, store, noPeers{})
		<-reader.Ready()
		turnedAway := newFakeStore()
		turnedAway.setDown(true)
		f := start(ctx, turnedAway, onePeer{followed: reader, alone: true})
		store.write("table", "2")
		time.Sleep(soon)
		assert.Assert(t, f.Table() != nil)
		assert.Equal(t, f.Table().Version(), int64(2))
		store.write("table", "3")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, f.Table().Version(), int64(3))
	})
}

// Guards, for any order of writes and lost history, against a journal whose changes
// do not add up to its items.
func TestJournalChangesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		seen := map[string]string{}
		var at int64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for range rapid.IntRange(0, 4).Draw(t, "writes") {
				key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
				store.write(key, rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value"))
			}
			if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
				store.forget()
			}
			b, _, err := store.journal.since(at)
			if err != nil {
				assert.ErrorIs(t, err, ErrHistoryGone)
				all, _ := store.journal.everything()
				b, seen = all, map[string]string{}
			}
			for _, item := range b.Items {
				if item.Removed {
					delete(seen, item.Key)
				} else {
					seen[item.Key] = string(item.Value)
				}
			}
			at = b.Revision
			want := map[string]string{}
			all, _ := store.journal.everything()
			for _, item := range all.Items {
				want[item.Key] = string(item.Value)
			}
			assert.DeepEqual(t, seen, want)
		}
	})
}
