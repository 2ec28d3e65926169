package feed

import (
	"context"
	"time"
)

const (
	// staleAge is the age of another instance's view from which on it is not
	// followed: it has lost the store, and this instance may still reach it. It is
	// above the age of a view between two watches that went well.
	staleAge = storeHold + replyDelay + 300*time.Millisecond
	// directFor is how long the store is read directly after the zone's reader has
	// failed.
	directFor = 5 * time.Second
	// replyDelay bounds the way of a watch's reply; a slow store takes 250 ms. Only a
	// process that was paused reads a reply later, and its next watch corrects it.
	replyDelay = 500 * time.Millisecond
)

// cycle is the state of following. It is used by one goroutine.
type cycle struct {
	follower *Follower
	revision int64
	synced   bool
	failures int       // in a row, of any source
	stores   int       // failures of the store in a row
	direct   time.Time // until then the zone's reader is not followed
	retry    time.Time // until then the store is not called
}

// followed is the source of one step.
type followed struct {
	Source
	id    string
	store bool
	hold  time.Duration // of a watch without changes
}

// step reads or watches once and returns the pause before the next step.
func (c *cycle) step(ctx context.Context) time.Duration {
	source, ok := c.source(time.Now())
	if !ok {
		return time.Until(c.retry)
	}
	asked := time.Now()
	batch, err := c.ask(ctx, source)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		return c.failed(err, source)
	}
	// Also a stale view may hold changes that this instance lacks.
	c.take(batch, c.confirmedAt(batch, asked, source), source)
	if !source.store && batch.Age > staleAge {
		return c.failed(&StaleError{Peer: source.id, Age: batch.Age}, source)
	}
	c.succeeded(source)
	if source.store {
		return batchPause
	}
	return peerPause
}

// source is the zone's reader; the store when this instance is the reader or the
// reader has failed; any other instance while the store fails. It returns false
// when there is no other source before the store may be called again.
func (c *cycle) source(now time.Time) (followed, bool) {
	f := c.follower
	if now.After(c.direct) {
		if reader := f.sources.Reader(); reader != nil {
			return followed{Source: reader, id: reader.ID(), hold: peerHold}, true
		}
	}
	if !now.Before(c.retry) {
		return followed{Source: f.store, id: "store", store: true, hold: storeHold}, true
	}
	if other := f.sources.Any(); other != nil {
		return followed{Source: other, id: other.ID(), hold: min(peerHold, c.retry.Sub(now))}, true
	}
	return followed{}, false
}

func (c *cycle) ask(ctx context.Context, source followed) (Batch, error) {
	if !c.synced {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return source.Read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, source.hold+watchGrace)
	defer cancel()
	return source.Watch(ctx, c.revision, source.hold)
}

// take puts a batch in force, records its age and only then passes it on, so that
// those who follow this instance get it with its own age.
func (c *cycle) take(batch Batch, confirmed time.Time, source followed) {
	f := c.follower
	if c.synced {
		fresh := f.journal.unknown(batch)
		f.applyChanges(fresh, source.id)
		f.confirm(confirmed)
		f.journal.add(fresh, batch.Revision)
	} else {
		f.applyAll(batch, source.id)
		f.confirm(confirmed)
		f.journal.replace(batch)
	}
	f.becomeReady()
	c.revision = max(c.revision, batch.Revision)
	c.synced = true
}

// confirmedAt is up to when a batch confirms the view. The reply to a watch is made
// when a change happens or the hold ends, and arrives within replyDelay; a read is
// as old as its question.
func (c *cycle) confirmedAt(batch Batch, asked time.Time, source followed) time.Time {
	at := asked
	if recent := time.Now().Add(-replyDelay); recent.After(asked) {
		at = recent
	}
	if !source.store {
		at = at.Add(-batch.Age)
	}
	return at
}

// failed moves to another source: from the zone's reader to the store, and from the
// store to other instances until it may be called again.
func (c *cycle) failed(err error, source followed) time.Duration {
	f := c.follower
	if !unresponsive(err) {
		f.logger.Info("history of changes is gone, reading everything", "origin", source.id, "revision", c.revision)
		c.synced = false
		return peerPause
	}
	c.failures++
	if c.failures == 1 {
		f.logger.Warn("source lost", "origin", source.id, "error", err, "view_age_ms", f.Age().Milliseconds())
	}
	now := time.Now()
	if source.store {
		c.stores++
		c.retry = now.Add(backoff(c.stores))
		f.setFailing(true)
	} else {
		c.direct = now.Add(directFor)
	}
	return peerPause
}

func (c *cycle) succeeded(source followed) {
	if c.failures > 0 {
		c.follower.logger.Info("source regained", "origin", source.id, "failed_calls", c.failures)
	}
	c.failures = 0
	if source.store {
		c.stores = 0
		c.retry = time.Time{}
	}
	c.follower.setFailing(c.stores > 0)
}
