package feed

import (
	"errors"
	"time"
)

// handleFailure records a failed call, so that chooseSource selects another source: a
// standby reader or the store instead of the zone's reader, the next standby reader or
// the store instead of a standby reader, and other instances instead of the store until
// storeRetryAt.
func (l *followLoop) handleFailure(err error, source chosenSource) time.Duration {
	f := l.follower
	now := f.clock.now()
	if gone := (*HistoryGoneError)(nil); errors.As(err, &gone) && gone.Era != 0 && gone.Era < l.position.Era {
		err = &EraPastError{Origin: source.id, Era: gone.Era, Known: l.position.Era}
	}
	if !isSourceFailure(err) {
		return l.handleHistoryGone(err, source)
	}
	if past := (*EraPastError)(nil); source.isStore && errors.As(err, &past) {
		return l.handlePastEra(past)
	}
	l.consecutiveFailures++
	if l.consecutiveFailures == 1 {
		f.logger.Warn("source lost", "origin", source.id, "error", err, "view_age_ms", f.Age().Milliseconds())
	}
	if source.isStore {
		l.storeFailures++
		l.awaitTurn(now, f.clock.backoff(l.storeFailures))
		f.setStoreLost(true)
		return peerPause
	}
	stale := (*StaleViewError)(nil)
	isStale := errors.As(err, &stale)
	if isStale {
		l.staleSources.record(now, f.confirmed.time())
	}
	if now.After(l.skipReaderUntil) {
		// The first watch of the store returns at once and only confirms the view, for the
		// instances that follow this one in place of the reader.
		l.skipReaderUntil, l.skipNextWait = now.Add(readerBackoff), true
		l.readerAnswers = isStale
		return peerPause
	}
	l.failedStandbys++
	// A short outage of the store makes the calls to all standby readers fail. If every
	// instance then called the next standby reader or the store at once, it would only add
	// to the load on the store.
	if !l.awaitsTurn {
		l.awaitTurn(now, 0)
	}
	return standbyFailurePause/2 + l.follower.clock.random(standbyFailurePause)
}

// handleHistoryGone makes the next call read everything: from the same source, or from another
// instance if this one is not meant to read the store. It may do so at its turn, so that the
// number of complete reads of the store does not grow with the instances.
func (l *followLoop) handleHistoryGone(err error, source chosenSource) time.Duration {
	f := l.follower
	l.readCause = readHistoryGone
	var gone *HistoryGoneError
	if errors.As(err, &gone) && gone.Era > l.position.Era {
		l.readCause = readNewEra
	}
	f.logger.Info("history of changes is gone, reading everything", "origin", source.id, "cause", l.readCause, "era", l.position.Era, "revision", l.position.Revision)
	l.synced = false
	if source.isStore && f.sources.StoreCallers() > 1 {
		l.skipReaderUntil = time.Time{} // the store answers again, and so may the reader
		l.awaitTurn(f.clock.now(), 0)
	} else {
		l.readFrom = &source
	}
	return peerPause
}

// handlePastEra spaces the calls to a store that answers in an era that has ended, and logs each
// such era once.
func (l *followLoop) handlePastEra(err *EraPastError) time.Duration {
	f := l.follower
	if !l.loggedEras[err.Era] && len(l.loggedEras) < maxLoggedEras {
		if l.loggedEras == nil {
			l.loggedEras = make(map[int64]bool)
		}
		l.loggedEras[err.Era] = true
		f.logger.Warn("store answers in an era that has ended", "era", err.Era, "known", err.Known, "view_age_ms", f.Age().Milliseconds())
	}
	l.storeFailures++
	l.awaitTurn(f.clock.now(), f.clock.backoff(l.storeFailures))
	f.setStoreLost(true)
	return peerPause
}

// awaitTurn sets the next call to the store, after a pause of at least the given length.
func (l *followLoop) awaitTurn(now time.Time, atLeast time.Duration) {
	l.awaitsTurn = true
	l.storeRetryAt = now.Add(max(atLeast, l.turnPause()))
}

// turnPause returns a random pause before a call to the store, so that the instances of the
// zone take turns. Meanwhile this instance asks others, which may have reached the store. An
// instance without a view cannot serve requests and does not wait for its turn.
func (l *followLoop) turnPause() time.Duration {
	if !l.hasView {
		return 0
	}
	mean := time.Duration(l.follower.sources.StoreCallers()) * storeCallSpacing
	return mean/2 + l.follower.clock.random(mean)
}
