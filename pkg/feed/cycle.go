package feed

import (
	"context"
	"time"
)

const (
	// peerFailures is the number of failures of other instances in a row after
	// which the store is read directly.
	peerFailures = 2
	// staleAge is the age of another instance's view from which on it is not
	// followed: it has lost the store, and this instance may still reach it.
	staleAge = 3200 * time.Millisecond
	// directFor is how long the store is read directly after that.
	directFor = 5 * time.Second
	// replyDelay bounds the way of a watch's reply; a slow store takes 250 ms. Only a
	// process that was paused reads a reply later, and its next watch corrects it.
	replyDelay = 500 * time.Millisecond
	// storeFailures is the number of failures of the store in a row after which
	// other instances are asked: the store may turn away single instances.
	storeFailures = 2
)

// cycle is the state of following. It is used by one goroutine.
type cycle struct {
	follower *Follower
	revision int64
	synced   bool
	failures int       // in a row, of any source
	peers    int       // failures of other instances in a row
	stores   int       // failures of the store in a row
	direct   time.Time // until then the store is read directly
	lost     bool      // the loss was logged
}

// step reads or watches once and returns the pause before the next step.
func (c *cycle) step(ctx context.Context) time.Duration {
	source, origin, isStore := c.source()
	asked := time.Now()
	batch, err := c.ask(ctx, source)
	if ctx.Err() != nil {
		return 0
	}
	if err == nil && !isStore && batch.Age > staleAge {
		err = &StaleError{Peer: origin, Age: batch.Age}
	}
	if err != nil {
		return c.failed(err, origin, isStore)
	}
	f := c.follower
	if c.synced {
		f.takeChanges(batch, origin)
	} else {
		f.takeAll(batch, origin)
	}
	c.confirm(batch, asked, isStore)
	c.succeeded(origin, isStore)
	c.revision = max(c.revision, batch.Revision)
	c.synced = true
	if isStore {
		return batchPause
	}
	return peerPause
}

// source is the store, or another instance that follows it.
func (c *cycle) source() (source Source, origin string, isStore bool) {
	if c.stores >= storeFailures || time.Now().After(c.direct) {
		if peer := c.follower.sources.Peer(c.peers); peer != nil {
			return peer, peer.ID(), false
		}
		if c.stores >= storeFailures {
			if peer := c.follower.sources.Peer(1 + c.peers); peer != nil {
				return peer, peer.ID(), false
			}
		}
	}
	return c.follower.store, "store", true
}

func (c *cycle) ask(ctx context.Context, source Source) (Batch, error) {
	if !c.synced {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return source.Read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	return source.Watch(ctx, c.revision, watchWait)
}

// confirm records up to when the view is confirmed. The reply to a watch is made
// when a change happens or the hold ends, and arrives within replyDelay; a read is
// as old as its question.
func (c *cycle) confirm(batch Batch, asked time.Time, isStore bool) {
	at := asked
	if recent := time.Now().Add(-replyDelay); c.synced && recent.After(asked) {
		at = recent
	}
	if !isStore {
		at = at.Add(-batch.Age)
	}
	c.follower.confirm(at)
}

func (c *cycle) failed(err error, origin string, isStore bool) time.Duration {
	f := c.follower
	if !unresponsive(err) {
		f.logger.Info("history of changes is gone, reading everything", "origin", origin, "revision", c.revision)
		if !c.synced {
			// A source that has nothing itself is as good as none.
			c.peers++
		}
		c.synced = false
		return peerPause
	}
	if !c.lost {
		c.lost = true
		f.logger.Warn("source lost", "origin", origin, "error", err, "view_age_ms", f.Age().Milliseconds())
	}
	c.failures++
	if isStore {
		c.stores++
		c.peers = 0
		return backoff(c.stores)
	}
	c.peers++
	if c.peers >= peerFailures {
		c.peers = 0
		c.stores = 0
		c.direct = time.Now().Add(directFor)
	}
	return backoff(1)
}

func (c *cycle) succeeded(origin string, isStore bool) {
	if c.lost {
		c.follower.logger.Info("source regained", "origin", origin, "failed_calls", c.failures)
	}
	c.lost, c.failures, c.peers = false, 0, 0
	if isStore {
		c.stores = 0
	}
}
