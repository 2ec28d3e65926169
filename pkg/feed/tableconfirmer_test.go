package feed

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const (
	// unknownPathInterval is the time between two requests without a route at an instance.
	unknownPathInterval = 10 * time.Millisecond
	// storeCallsPerSecond allows, for a zone, its reader's watches and one read of the table
	// in maxAgeForPeers.
	storeCallsPerSecond = 2.0
)

// Many callers ask for paths that have no route, at all instances of a zone. Guards against
// calls to the store that grow with the number of such requests or of instances, and against
// denying a route that was added before the request by more than maxConfirmedAge.
func TestRequestsWithoutRouteCostFewStoreCalls(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		reader := startFollower(ctx, store, noPeers{})
		<-reader.Ready()
		followers := []*Follower{reader}
		for range 10 {
			f := startFollower(ctx, store, onePeer{followed: reader})
			<-f.Ready()
			followers = append(followers, f)
		}
		const length = 20 * time.Second
		before, end := store.callCount(), time.Now().Add(length)
		var group sync.WaitGroup
		for _, f := range followers {
			group.Go(func() {
				for time.Now().Before(end) {
					due := store.tableVersionBefore(time.Now().Add(-maxConfirmedAge))
					table, confirmed := f.Confirm(ctx)
					assert.Check(t, confirmed)
					assert.Check(t, table.Version() >= due, "table %d, want %d or newer", table.Version(), due)
					time.Sleep(unknownPathInterval)
				}
			})
		}
		for version := int64(2); time.Now().Before(end); version++ {
			store.writeTable(version)
			time.Sleep(1700 * time.Millisecond)
		}
		group.Wait()
		allowed := int(storeCallsPerSecond * length.Seconds())
		assert.Assert(t, store.callCount()-before <= allowed, "%d calls, allowed %d", store.callCount()-before, allowed)
	})
}

// failingConfirmer is a reader that cannot confirm the table.
type failingConfirmer struct {
	onePeer
	confirm func(ctx context.Context, version int64) (TableReply, error)
}

func (p failingConfirmer) Reader() PeerSource { return failingPeer{followedPeer(p.onePeer), p.confirm} }

type failingPeer struct {
	followedPeer
	confirm func(ctx context.Context, version int64) (TableReply, error)
}

func (p failingPeer) ConfirmTable(ctx context.Context, version int64) (TableReply, error) {
	return p.confirm(ctx, version)
}

// Guards against a route that is denied, or a request that waits long, because the zone's
// reader is frozen, cut off from the store, or behind this instance.
func TestTableIsConfirmedWithoutTheReader(t *testing.T) {
	for name, confirm := range map[string]func(ctx context.Context, version int64) (TableReply, error){
		"frozen": func(ctx context.Context, _ int64) (TableReply, error) {
			<-ctx.Done()
			return TableReply{}, ctx.Err()
		},
		"unreachable": func(context.Context, int64) (TableReply, error) { return TableReply{}, errUnavailable },
		"cut off from the store": func(_ context.Context, version int64) (TableReply, error) {
			return TableReply{Version: version, Age: maxConfirmedAge}, nil
		},
		"behind": func(_ context.Context, version int64) (TableReply, error) {
			return TableReply{Version: version - 1}, nil
		},
		"without a table": func(context.Context, int64) (TableReply, error) { return TableReply{Age: unconfirmedAge}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, store *fakeStore) {
				outdated := newFakeStore()
				outdated.write("table", "1")
				reader := startFollower(ctx, outdated, noPeers{})
				<-reader.Ready()
				f := startFollower(ctx, store, failingConfirmer{onePeer{followed: reader}, confirm})
				<-f.Ready()
				time.Sleep(3 * time.Second)
				store.writeTable(2)
				for f.confirmer.age() < maxConfirmedAge {
					time.Sleep(time.Millisecond)
				}
				began := time.Now()
				table, confirmed := f.Confirm(ctx)
				assert.Assert(t, confirmed)
				assert.Equal(t, table.Version(), int64(2))
				assert.Assert(t, time.Since(began) <= peerConfirmTimeout)
			})
		})
	}
}

// Guards against requests that wait for the reader again and again while it is frozen.
func TestFrozenReaderIsNotAskedForEachRequest(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		asked := 0
		confirm := func(ctx context.Context, _ int64) (TableReply, error) {
			asked++
			<-ctx.Done()
			return TableReply{}, ctx.Err()
		}
		confirmer := &tableConfirmer{
			store: store, sources: failingConfirmer{confirm: confirm}, logger: slog.New(slog.DiscardHandler), calls: &StoreCalls{}, now: time.Now,
			current: func() *routing.Table { return routing.NewTable(1, nil, nil, routing.Limits{}) }, adopt: func(Item, string) *routing.Table { return nil }, viewAge: func() time.Duration { return unconfirmedAge },
			era: func() int64 { return 0 }, confirmable: func(time.Time) bool { return true },
		}
		for end := time.Now().Add(2 * readerBackoff); time.Now().Before(end); time.Sleep(unknownPathInterval) {
			assert.NilError(t, confirmer.byAnyone(ctx))
		}
		assert.Assert(t, asked <= 3, "asked %d times", asked)
	})
}
