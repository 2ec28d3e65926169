package feed

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drainedZones returns the number of drained zones.
func drainedZones(f *Follower) int { return len(f.directory.DrainedZones()) }

// Guards against a zone that is drained late or does not return, against one that returns while
// the store is unavailable, and against a follower of another instance that misses the change.
// The servers of the tests are in the zone without a name; "z" stands for any other.
func TestDrainedZonesFollowTheStore(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		reader := startFollower(ctx, store, noPeers{})
		follower := startFollower(ctx, store, onePeer{followed: reader})
		<-reader.Ready()
		store.write("drained/z", "{}")
		time.Sleep(propagationTime)
		assert.Equal(t, drainedZones(reader), 1)
		assert.Equal(t, drainedZones(follower), 1)

		store.setDown(true)
		time.Sleep(time.Minute)
		assert.Equal(t, drainedZones(reader), 1)
		store.setDown(false)
		store.write("drained/z", "")
		time.Sleep(5 * time.Second)
		assert.Equal(t, drainedZones(reader), 0)
		assert.Equal(t, drainedZones(follower), 0)
	})
}

// Guards against zones that stay drained, or in use, because the change was made while the
// instance could not reach the store and is only visible in a complete read. An instance that
// starts while a zone is drained reads everything, too.
func TestCompleteReadReplacesDrainedZones(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		store.write("drained/z", "{}")
		f := startFollower(ctx, store, noPeers{})
		<-f.Ready()
		assert.Equal(t, f.directory.DrainedZones()[0].Zone, "z")
		store.setDown(true)
		time.Sleep(5 * time.Second)
		store.write("drained/z", "")
		store.write("drained/y", "any value")
		store.dropHistory()
		store.setDown(false)
		time.Sleep(5 * time.Second)
		assert.Equal(t, drainedZones(f), 1)
		assert.Equal(t, f.directory.DrainedZones()[0].Zone, "y")
	})
}

// Guards against a zone that is drained after the operator has taken that back, when both
// changes arrive together.
func TestDrainTakenBackBeforeItTookEffect(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := startFollower(ctx, store, noPeers{})
		<-f.Ready()
		store.write("drained/z", "{}")
		store.write("drained/z", "")
		store.write("table", "2")
		time.Sleep(propagationTime)
		assert.Equal(t, drainedZones(f), 0)
		assert.Equal(t, f.Table().Version(), int64(2))
	})
}

// The store comes back from a copy in which a zone is not drained yet, and the operator writes that
// again or not. Guards against a drain that the copy undoes, and against one that stays for good.
func TestDrainedZoneSurvivesARestoredStore(t *testing.T) {
	for _, again := range []bool{true, false} {
		simulate(t, func(ctx context.Context, store *fakeStore) {
			store.restore(store.copy()) // the era becomes known
			reader := startFollower(ctx, store, noPeers{})
			<-reader.Ready()
			follower := startFollower(ctx, store, onePeer{followed: reader})
			<-follower.Ready()
			time.Sleep(rewriteTime)
			copied := store.copy()
			store.write("drained/z", "{}")
			time.Sleep(propagationTime)
			store.restore(copied)
			restored := time.Now()
			for ; time.Since(restored) < rewriteTime-100*time.Millisecond; time.Sleep(50 * time.Millisecond) {
				assert.Equal(t, drainedZones(reader), 1, "reader, %v after the restore", time.Since(restored))
				assert.Equal(t, drainedZones(follower), 1, "follower, %v after the restore", time.Since(restored))
			}
			want := 0
			if again {
				store.write("drained/z", "{}")
				want = 1
			}
			time.Sleep(2 * propagationTime)
			assert.Equal(t, drainedZones(reader), want)
			assert.Equal(t, drainedZones(follower), want)
		})
	}
}
