package feed

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

// startLogged is startFollower with the lines that the follower logs.
func startLogged(ctx context.Context, store Store, sources Sources) (*Follower, *bytes.Buffer) {
	lines := &bytes.Buffer{}
	f := NewFollower(store, sources, fakeDecoder{}, directory.New(3*time.Second, time.Now), slog.New(slog.NewTextHandler(lines, nil)))
	go func() { _ = f.Serve(ctx) }()
	return f, lines
}

// Guards against a table that goes back, and servers that are dropped or return at once, when the
// store comes back older.
func TestRestoredStoreDoesNotUndoWhatWasSeen(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		store.restore(store.copy()) // the era becomes known
		f := startFollower(ctx, store, noPeers{})
		<-f.Ready()
		time.Sleep(rewriteTime)
		copied := store.copy()
		store.write("table", "2")
		store.write("server/a", "")
		store.write("server/c", "live")
		time.Sleep(propagationTime)
		assert.Equal(t, usableServers(f), "b c")
		store.restore(copied)
		time.Sleep(rewriteTime - propagationTime)
		assert.Equal(t, f.Table().Version(), int64(2))
		assert.Equal(t, usableServers(f), "b c")
		calls := store.callCount()
		_, confirmed := f.Confirm(ctx)
		assert.Assert(t, !confirmed)
		assert.Equal(t, f.ConfirmTable(ctx, 1).Age, unconfirmedAge)
		assert.Equal(t, store.callCount(), calls, "calls that cannot confirm the table")
		time.Sleep(2 * propagationTime)
		assert.Equal(t, usableServers(f), "b")
		for _, server := range f.directory.LastResort("s") {
			assert.Assert(t, server.ID != "c")
		}
		_, confirmed = f.Confirm(ctx)
		assert.Assert(t, !confirmed, "the store's table is older")
		store.write("table", "2")
		store.write("server/a", "live")
		time.Sleep(2 * propagationTime)
		assert.Equal(t, usableServers(f), "a b")
		_, confirmed = f.Confirm(ctx)
		assert.Assert(t, confirmed)
		assert.Equal(t, f.FullReads().Counts()["new_era"], int64(1))
	})
}

// Guards against an instance that starts in the middle of a drill with the copy's table and
// servers, beside one that knows better.
func TestStartingInstanceTakesOverWhatIsHeld(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		store.restore(store.copy())
		reader := startFollower(ctx, store, noPeers{})
		<-reader.Ready()
		copied := store.copy()
		store.write("table", "2")
		store.write("server/a", "")
		store.write("server/c", "live")
		time.Sleep(propagationTime)
		store.restore(copied)
		time.Sleep(propagationTime)
		f := startFollower(ctx, store, onePeer{followed: reader})
		<-f.Ready()
		assert.Equal(t, f.Table().Version(), int64(2))
		assert.Equal(t, usableServers(f), "b c")
		time.Sleep(rewriteTime)
		assert.Equal(t, usableServers(f), "b")
		later := startFollower(ctx, store, onePeer{followed: reader})
		<-later.Ready()
		assert.Equal(t, later.Table().Version(), int64(2))
		assert.Equal(t, usableServers(later), "b")
	})
}

// Two stores behind one address answer in turn, or the store goes back to an era that has ended.
// Guards against a view that goes back, against calls without a pause and against a log line for
// each answer.
func TestEraThatGoesBackIsRefused(t *testing.T) {
	for name, stated := range map[string]func(calls int, era int64) int64{
		"in turn":  func(calls int, era int64) int64 { return era - int64(calls%2) },
		"for good": func(_ int, era int64) int64 { return era - 1 },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, store *fakeStore) {
				store.restore(store.copy())
				store.restore(store.copy())
				f, lines := startLogged(ctx, store, noPeers{})
				<-f.Ready()
				time.Sleep(rewriteTime)
				calls := 0
				store.mu.Lock()
				store.statedEra = func(era int64) int64 {
					calls++
					return stated(calls, era)
				}
				store.mu.Unlock()
				before := store.callCount()
				store.write("server/a", "")
				time.Sleep(time.Minute)
				assert.Equal(t, f.era.Load(), int64(2))
				assert.Assert(t, store.readCount() <= 2, "%d complete reads", store.readCount())
				assert.Assert(t, store.callCount()-before <= 4*60, "%d calls", store.callCount()-before)
				synctest.Wait()
				assert.Equal(t, strings.Count(lines.String(), "era that has ended"), 1)
				assert.Equal(t, usableServers(f), map[string]string{"in turn": "b", "for good": "a b"}[name])
			})
		})
	}
}

// Guards against a store without the header that is taken for one that was restored, and against a
// log line for each answer.
func TestMissingEraIsTheKnownOne(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		store.restore(store.copy())
		f, lines := startLogged(ctx, store, noPeers{})
		<-f.Ready()
		store.mu.Lock()
		store.statedEra = func(int64) int64 { return 0 }
		store.mu.Unlock()
		store.write("server/a", "")
		time.Sleep(time.Minute)
		assert.Equal(t, usableServers(f), "b")
		assert.Equal(t, f.era.Load(), int64(1))
		assert.Equal(t, store.readCount(), 1)
		synctest.Wait()
		assert.Equal(t, strings.Count(lines.String(), "no valid era"), 1)
	})
}

// Two stores without eras answer in turn, so that each watch is followed by a complete read.
// Guards against complete reads without a pause, and against pauses in which an instance that
// reaches the store hears of no change for longer than maxViewDelay.
func TestCompleteReadsInARowAreSpaced(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := startFollower(ctx, store, noPeers{})
		<-f.Ready()
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			store.write("server/a", "live")
			store.dropHistory()
			assert.Assert(t, f.Age() <= maxViewDelay, "view is %v old", f.Age())
		}
		// One in each maxStoreReadPause, and three more until the pause has grown to that.
		assert.Assert(t, store.readCount() <= 60+3, "%d complete reads", store.readCount())
	})
}

// refusingStore is a store that refuses some of the instances.
type refusingStore struct {
	*fakeStore
	refuses atomic.Bool
}

func (s *refusingStore) Read(ctx context.Context) (Batch, error) {
	if s.refuses.Load() {
		return Batch{}, errUnavailable
	}
	return s.fakeStore.Read(ctx)
}

func (s *refusingStore) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	if s.refuses.Load() {
		return Batch{}, errUnavailable
	}
	return s.fakeStore.Watch(ctx, after, wait)
}

// mixedZone is a large zone whose instances ask each other while the store fails.
type mixedZone struct {
	largeZone
	others *[]*Follower
}

func (z mixedZone) Any() PeerSource {
	return followedPeer{followed: (*z.others)[rand.IntN(len(*z.others))]}
}

// startZone starts a reader, a standby reader and many instances that follow them.
func startZone(ctx context.Context, store *fakeStore, readersStore Store, instances int) (followers []*Follower) {
	reader, standby := startFollower(ctx, readersStore, noPeers{}), startFollower(ctx, readersStore, noPeers{})
	<-reader.Ready()
	<-standby.Ready()
	others := &[]*Follower{}
	for range instances {
		zone := largeZone{readerWithStandby{onePeer{followed: reader}, standby}, instances}
		f := startFollower(ctx, store, mixedZone{zone, others})
		<-f.Ready()
		followers = append(followers, f)
	}
	*others = followers
	return followers
}

// A drill in a zone with many instances, whose reader is not followed for a while after the outage.
// Guards against instances that learn of the restore much later than their reader, and use
// until then what it has released.
func TestMostInstancesLearnOfARestoreSoon(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		const instances = 100
		store.restore(store.copy())
		followers := startZone(ctx, store, store, instances)
		time.Sleep(3 * time.Second)
		copied := store.copy()
		store.write("server/a", "")
		store.setDown(true)
		time.Sleep(time.Second)
		store.restore(copied)
		store.setDown(false)
		time.Sleep(rewriteTime)
		inEra := 0
		for _, f := range followers {
			if f.era.Load() == 2 {
				inEra++
			}
		}
		t.Logf("%d instances in the new era", inEra)
		// At least 68 in 200 runs; at most 22 in 50 when none asks the reader meanwhile.
		assert.Assert(t, inEra >= instances/2, "%d instances in the new era", inEra)
	})
}

// A drill in a zone with many instances, after which the store still refuses the zone's reader and
// standby reader for a while. Guards against complete reads of the store whose number grows
// with the instances, and against instances that stay in the old era.
func TestCompleteReadsInADrillDoNotGrowWithTheZone(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		store.restore(store.copy())
		readersStore := &refusingStore{fakeStore: store}
		followers := startZone(ctx, store, readersStore, 100)
		copied := store.copy()
		store.write("server/a", "")
		time.Sleep(propagationTime)
		before := store.readCount()
		store.setDown(true)
		readersStore.refuses.Store(true)
		time.Sleep(2 * time.Second)
		store.restore(copied)
		store.setDown(false)
		time.Sleep(4 * time.Second)
		readersStore.refuses.Store(false)
		// A follower that has left its reader asks it again after readerBackoff.
		time.Sleep(readerBackoff)
		for _, f := range followers {
			assert.Equal(t, f.era.Load(), int64(2))
			assert.Equal(t, usableServers(f), "b")
		}
		t.Logf("%d complete reads of the store", store.readCount()-before)
		// The two readers, and those whose second turn came before they met one of the new era: at
		// most 8 in 300 runs. When each instance reads the store at its turn, at least 17 in 200.
		assert.Assert(t, store.readCount()-before <= 12, "%d complete reads", store.readCount()-before)
	})
}

// A platform without eras restores its store. Guards against complete reads without end, which
// a revision above that of the store would cause, and against what was seen being undone.
func TestRestoreWithoutErasIsFollowed(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		store.statedEra = func(int64) int64 { return 0 }
		f := startFollower(ctx, store, noPeers{})
		<-f.Ready()
		copied := store.copy()
		store.write("table", "2")
		store.write("server/a", "")
		store.write("server/c", "live")
		time.Sleep(propagationTime)
		store.restore(copied)
		time.Sleep(propagationTime)
		assert.Equal(t, usableServers(f), "b c")
		time.Sleep(time.Minute)
		assert.Equal(t, usableServers(f), "b")
		assert.Equal(t, f.Table().Version(), int64(2))
		store.write("server/d", "live")
		time.Sleep(propagationTime)
		assert.Equal(t, usableServers(f), "b d")
		assert.Equal(t, store.readCount(), 2)
	})
}

// Guards against changes of one era that are given to an instance in another one, and against an
// instance of an older build, which states no era, that gets none.
func TestChangesForAnInstanceInAnotherEra(t *testing.T) {
	cache := newWatchCache()
	cache.replace(Batch{Position: Position{Era: 2, Revision: 10}}, time.Time{})
	cache.add([]Item{{Key: "k", Revision: 11}}, 11, time.Time{})
	for name, c := range map[string]struct {
		after   Position
		changes int
		gone    bool
	}{
		"same era":    {Position{Era: 2, Revision: 10}, 1, false},
		"older era":   {Position{Era: 1, Revision: 10}, 0, true},
		"newer era":   {Position{Era: 3, Revision: 5}, 0, false},
		"older build": {Position{Revision: 10}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			b, _, err := cache.waitForChanges(context.Background(), c.after, time.Hour, nil)
			assert.Equal(t, len(b.Items), c.changes)
			var gone *HistoryGoneError
			assert.Equal(t, errors.As(err, &gone), c.gone)
			if c.gone {
				assert.Equal(t, gone.Era, int64(2))
			} else {
				assert.Equal(t, b.Position, Position{Era: 2, Revision: 11})
			}
		})
	}
}
