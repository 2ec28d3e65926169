package controlplane

import (
	"sync/atomic"
	"time"
)

const (
	// FreshnessBound is the default of Config.Freshness: when the last
	// confirmation is older, a decision first waits for a refresh. A bundle has to
	// take effect within 3 s, so this leaves 1 s for a change to spread.
	FreshnessBound = 2 * time.Second
	// refreshTimeout bounds how long a decision waits for a refresh. After it the
	// decision uses the documents at hand: availability comes before freshness.
	refreshTimeout = 300 * time.Millisecond
	// refreshReplyWait is the time in which every live peer is expected to answer. It
	// covers several round trips between zones, enough to retransmit a lost packet.
	refreshReplyWait = 100 * time.Millisecond
	// refreshBackoff is the time after a failed refresh in which decisions do not
	// wait for another refresh. A refresh fails when nobody confirms the documents.
	refreshBackoff = 250 * time.Millisecond
)

// freshness records when the documents were last confirmed. A confirmation is
// dated by when its request was sent, not by when the reply was read: a process
// that was paused may read a reply that is as old as the pause.
type freshness struct {
	start     time.Time
	bound     time.Duration
	confirmed atomic.Int64 // nanoseconds after start, 0 when never
	failed    atomic.Int64 // end of the last failed refresh, in the same unit
}

func newFreshness(now time.Time, bound time.Duration) *freshness {
	if bound <= 0 {
		bound = FreshnessBound
	}
	// Starting in the past keeps the value 0 for "never".
	return &freshness{start: now.Add(-time.Hour), bound: bound}
}

// confirm records that a reply to a request sent at asked confirmed the documents.
func (f *freshness) confirm(asked time.Time) {
	raise(&f.confirmed, int64(asked.Sub(f.start)))
}

// fail records a refresh that ended without a confirmation.
func (f *freshness) fail(now time.Time) {
	raise(&f.failed, int64(now.Sub(f.start)))
}

// isFresh reports whether the documents were confirmed within the bound.
func (f *freshness) isFresh(now time.Time) bool {
	return f.within(f.confirmed.Load(), now, f.bound)
}

// isBackingOff reports whether the last refresh failed within refreshBackoff, so that
// decisions do not wait for another refresh.
func (f *freshness) isBackingOff(now time.Time) bool {
	return f.within(f.failed.Load(), now, refreshBackoff)
}

func (f *freshness) within(at int64, now time.Time, bound time.Duration) bool {
	return at != 0 && int64(now.Sub(f.start))-at <= int64(bound)
}

// raise sets v to at unless v is already at least as high.
func raise(v *atomic.Int64, at int64) {
	for {
		old := v.Load()
		if at <= old || v.CompareAndSwap(old, at) {
			return
		}
	}
}
