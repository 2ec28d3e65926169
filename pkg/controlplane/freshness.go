package controlplane

import (
	"sync/atomic"
	"time"
)

const (
	// FreshnessBound is the default of Config.Freshness, the age of the last confirmation above which no decision
	// is made without a refresh. With the 3 s in which a bundle takes effect it
	// leaves 1 s for the spreading of a change.
	FreshnessBound = 2 * time.Second
	// refreshTimeout bounds the wait of a decision for a refresh; after it,
	// availability comes before freshness.
	refreshTimeout = 300 * time.Millisecond
	// refreshSettle is the time in which every live peer answers: several round
	// trips between zones, so that one lost packet is repeated.
	refreshSettle = 100 * time.Millisecond
	// refreshPause is the time after a refresh that reached nobody in which
	// decisions do not wait for another one.
	refreshPause = 250 * time.Millisecond
)

// freshness records when the documents were last confirmed. The time of a
// confirmation is when the question was sent, not when its answer was read: a
// process that was paused may read an answer that is as old as the pause.
type freshness struct {
	start     time.Time
	bound     time.Duration
	confirmed atomic.Int64 // nanoseconds after start, 0 when never
	failed    atomic.Int64 // end of the last refresh that reached nobody
}

func newFreshness(now time.Time, bound time.Duration) *freshness {
	if bound <= 0 {
		bound = FreshnessBound
	}
	// Starting in the past keeps the value 0 for "never".
	return &freshness{start: now.Add(-time.Hour), bound: bound}
}

// confirm records an answer to a question that was sent at asked.
func (f *freshness) confirm(asked time.Time) {
	raise(&f.confirmed, int64(asked.Sub(f.start)))
}

// fail records that a refresh reached nobody.
func (f *freshness) fail(now time.Time) {
	raise(&f.failed, int64(now.Sub(f.start)))
}

// isFresh reports whether the documents were confirmed within the bound.
func (f *freshness) isFresh(now time.Time) bool {
	return f.within(f.confirmed.Load(), now, f.bound)
}

// isPausing reports whether a refresh failed so recently that another one is
// not waited for.
func (f *freshness) isPausing(now time.Time) bool {
	return f.within(f.failed.Load(), now, refreshPause)
}

func (f *freshness) within(at int64, now time.Time, bound time.Duration) bool {
	return at != 0 && int64(now.Sub(f.start))-at <= int64(bound)
}

// raise sets v to at unless it is higher already.
func raise(v *atomic.Int64, at int64) {
	for {
		old := v.Load()
		if at <= old || v.CompareAndSwap(old, at) {
			return
		}
	}
}
