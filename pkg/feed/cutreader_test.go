package feed

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

// cutLink is the way of one instance to the store. It is silent from one time until another one,
// after which it delivers what it has held up.
type cutLink struct {
	*fakeStore

	mu          sync.Mutex
	from, until time.Time
}

func (l *cutLink) cut(from, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from, l.until = from, until
}

func (l *cutLink) Read(ctx context.Context) (Batch, error) {
	b, err := l.fakeStore.Read(ctx)
	return b, l.delivered(ctx, err)
}

func (l *cutLink) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	b, err := l.fakeStore.Watch(ctx, after, wait)
	return b, l.delivered(ctx, err)
}

func (l *cutLink) delivered(ctx context.Context, err error) error {
	now := time.Now()
	l.mu.Lock()
	from, until := l.from, l.until
	l.mu.Unlock()
	if now.Before(from) || !now.Before(until) {
		return err
	}
	sleep(ctx, until.Sub(now))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// testDrain is the drain time of the directories of startFollower.
const testDrain = 3 * time.Second

// All servers of a service begin to leave while the zone's reader is cut off from the store without
// noticing. Guards against followers, which reach the store, that send requests to these servers
// after the drain time: they learn of the change up to 2.1 s late and count from then on.
func TestServersAreNotUsedAfterTheirDrainBehindACutReader(t *testing.T) {
	for _, leave := range []string{"leaving", ""} {
		for cut := 200 * time.Millisecond; cut < 6*time.Second; cut += 300 * time.Millisecond {
			for offset := -100 * time.Millisecond; offset <= cut; offset += 400 * time.Millisecond {
				t.Run(fmt.Sprintf("%q %v after the begin of %v", leave, offset, cut), func(t *testing.T) {
					simulate(t, func(ctx context.Context, store *fakeStore) {
						way := &cutLink{fakeStore: store}
						reader := startFollower(ctx, way, noPeers{})
						<-reader.Ready()
						follower := startFollower(ctx, store, onePeer{followed: reader})
						<-follower.Ready()
						// The watches of reader and follower are at a different point for each case.
						time.Sleep(5*time.Second + (cut*7+offset*3)%(2*time.Second))
						from := time.Now().Add(200 * time.Millisecond)
						way.cut(from, from.Add(cut))
						time.Sleep(200*time.Millisecond + offset)
						store.write("server/a", leave)
						store.write("server/b", leave)
						drained := time.Now()
						time.Sleep(testDrain)
						for ; time.Since(drained) < 3*testDrain; time.Sleep(20 * time.Millisecond) {
							assert.Equal(t, usableServers(follower), "", "%v after the drain", time.Since(drained))
						}
					})
				})
			}
		}
	}
}

// The same in a zone of 20 instances whose reader and standby reader are both cut off, with the drain
// time of such deployments. Guards against taking that for an outage, after which the drain time
// would count from when an instance learns of the change.
func TestServersAreNotUsedAfterTheirDrainBehindCutReaders(t *testing.T) {
	drainBehindCutReaders(t, "leaving")
}

// The same for servers that do not report that they leave: their entries are removed.
func TestRemovedServersAreNotUsedAfterTheirDrainBehindCutReaders(t *testing.T) {
	drainBehindCutReaders(t, "")
}

func drainBehindCutReaders(t *testing.T, leave string) {
	for cut := time.Second; cut <= 3*time.Second; cut += 500 * time.Millisecond {
		for offset := time.Duration(0); offset < cut; offset += 300 * time.Millisecond {
			t.Run(fmt.Sprintf("%v after the begin of %v", offset, cut), func(t *testing.T) {
				simulate(t, func(ctx context.Context, store *fakeStore) {
					followers, ways := startZoneBehindCutReaders(ctx, store)
					time.Sleep(5*time.Second + offset*7%(2*time.Second))
					from := time.Now().Add(100 * time.Millisecond)
					for _, way := range ways {
						way.cut(from, from.Add(cut))
					}
					time.Sleep(100*time.Millisecond + offset)
					store.write("server/a", leave)
					store.write("server/b", leave)
					drained := time.Now()
					time.Sleep(largeZoneDrain)
					for ; time.Since(drained) < 2*largeZoneDrain; time.Sleep(50 * time.Millisecond) {
						for n, f := range followers {
							assert.Equal(t, usableServers(f), "", "instance %d, %v after the drain", n, time.Since(drained))
						}
					}
				})
			})
		}
	}
}

// largeZoneDrain is the drain time of deployments with large zones.
const largeZoneDrain = 5 * time.Second

// startZoneBehindCutReaders starts 20 instances that follow a reader and a standby reader, and returns
// the ways of these two to the store.
func startZoneBehindCutReaders(ctx context.Context, store *fakeStore) (followers []*Follower, ways []*cutLink) {
	start := func(s Store, sources Sources) *Follower {
		f := NewFollower(s, sources, fakeDecoder{}, directory.New(largeZoneDrain, time.Now), slog.New(slog.DiscardHandler))
		go func() { _ = f.Serve(ctx) }()
		<-f.Ready()
		return f
	}
	ways = []*cutLink{{fakeStore: store}, {fakeStore: store}}
	reader := start(ways[0], noPeers{})
	standby := start(ways[1], onePeer{followed: reader})
	others := &[]*Follower{}
	for range 20 {
		zone := largeZone{readerWithStandby{onePeer{followed: reader}, standby}, 20}
		followers = append(followers, start(store, mixedZone{zone, others}))
	}
	*others = followers
	return followers, ways
}

// All servers of a service begin to leave, without any fault. Guards against a service that is left
// without its last servers long before these stop.
func TestLeavingServersAreTheLastResort(t *testing.T) {
	const cases = 40
	for _, leave := range []string{"leaving", ""} {
		var sum time.Duration
		for n := range cases {
			simulate(t, func(ctx context.Context, store *fakeStore) {
				reader := startFollower(ctx, store, noPeers{})
				<-reader.Ready()
				follower := startFollower(ctx, store, onePeer{followed: reader})
				<-follower.Ready()
				time.Sleep(5*time.Second + time.Duration(n)*47*time.Millisecond)
				store.write("server/a", leave)
				store.write("server/b", leave)
				drained := time.Now()
				for usableServers(reader) != "" {
					time.Sleep(10 * time.Millisecond)
				}
				assert.Assert(t, time.Since(drained) >= time.Second, "%v", time.Since(drained))
				for usableServers(follower) != "" {
					time.Sleep(10 * time.Millisecond)
				}
				sum += time.Since(drained)
			})
		}
		t.Logf("used for %v after the drain, on average", sum/cases)
		assert.Assert(t, sum/cases >= testDrain*2/5, "mean of %v", sum/cases)
	}
}

// The store is away for long enough that the entries of all servers expire, and these come back
// a while after its return. Guards against a service without servers in between, at readers, at
// instances that follow one, and in zones where most instances do not call the store meanwhile.
func TestServersWhoseEntriesExpireInAnOutageAreTheLastResort(t *testing.T) {
	for _, forgets := range []bool{false, true} {
		for _, outage := range []time.Duration{3600 * time.Millisecond, 5 * time.Second, 8 * time.Second, 21 * time.Second} {
			t.Run(fmt.Sprintf("outage of %v, history is gone %v", outage, forgets), func(t *testing.T) {
				simulate(t, func(ctx context.Context, store *fakeStore) {
					followers := startZone(ctx, store, store, 40)
					time.Sleep(5 * time.Second)
					store.setDown(true)
					time.Sleep(outage)
					store.write("server/a", "")
					store.write("server/b", "")
					if forgets {
						store.dropHistory()
					}
					store.setDown(false)
					for returned := time.Now(); time.Since(returned) < testDrain/2; time.Sleep(20 * time.Millisecond) {
						for n, f := range followers {
							assert.Equal(t, usableServers(f), "a b", "instance %d, %v after the return", n, time.Since(returned))
						}
					}
				})
			})
		}
	}
}
