package feed

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// staleAge is the age of another instance's view from which on it is not
	// followed: it has lost the store, and this instance may still reach it. It is
	// above the age of a view between two watches that went well.
	staleAge = storeHold + replyDelay + 300*time.Millisecond
	// directFor is how long the zone's reader is not followed after it has failed.
	directFor = 5 * time.Second
	// deputyPause is the mean pause after a deputy has failed too.
	deputyPause = 600 * time.Millisecond
	// replyDelay bounds the way of a watch's reply; a slow store takes 250 ms. Only a
	// process that was paused reads a reply later, and its next watch corrects it.
	replyDelay = 500 * time.Millisecond
)

// cycle is the state of following. It is used by one goroutine.
type cycle struct {
	follower *Follower
	revision int64
	origin   string // id of the source that has last answered
	synced   bool
	failures int       // in a row, of any source
	stores   int       // failures of the store in a row
	direct   time.Time // until then the zone's reader is not followed
	deputies int       // that have failed since the reader has
	quick    bool      // the next watch of the store is not held
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

// source is the zone's reader; one of its deputies when it has failed; the store when
// this instance is one of them or they have failed too; any other instance while the
// store fails. It returns false when there is no other source before the store may be
// called again.
func (c *cycle) source(now time.Time) (followed, bool) {
	f := c.follower
	if now.After(c.direct) {
		c.deputies = 0
		if reader := f.sources.Reader(); reader != nil {
			return followed{Source: reader, id: reader.ID(), hold: peerHold}, true
		}
	} else if deputy := f.sources.Deputy(c.deputies); deputy != nil {
		return followed{Source: deputy, id: deputy.ID(), hold: peerHold}, true
	}
	if !now.Before(c.retry) {
		hold := storeHold
		if c.quick {
			hold = 0
		}
		return followed{Source: f.store, id: "store", store: true, hold: hold}, true
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
		return peerPause
	}
	if now.After(c.direct) {
		// The first watch of the store only confirms the view, for those who follow this
		// instance in the reader's place.
		c.direct, c.quick = now.Add(directFor), true
		return peerPause
	}
	c.deputies++
	// A store that is silent for a moment fails for all deputies; whoever asks the next
	// one, or the store itself, at once would only add to its load.
	return deputyPause/2 + rand.N(deputyPause)
}

func (c *cycle) succeeded(source followed) {
	if source.id != c.origin {
		c.follower.logger.Info("source of the view changed", "origin", source.id, "before", c.origin, "revision", c.revision,
			"view_age_ms", c.follower.Age().Milliseconds())
		c.origin = source.id
	}
	if c.failures > 0 {
		c.follower.logger.Info("source regained", "origin", source.id, "failed_calls", c.failures)
	}
	c.failures = 0
	if source.store {
		c.stores, c.quick = 0, false
		c.retry = time.Time{}
	}
	c.follower.setFailing(c.stores > 0)
}
