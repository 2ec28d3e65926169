package peering

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"
)

// roundTripWindow is the time of which the least round trip counts. Within it an instance
// exchanges with another zone at least about once, also at large sites.
const roundTripWindow = time.Minute

// RoundTrips holds the least recent round trip to each availability zone. The least one
// contains no time that an instance waited for its processor. It is safe for concurrent
// use.
type RoundTrips struct {
	now func() time.Time

	mu    sync.Mutex
	zones map[string]*leastTime
}

func newRoundTrips(now func() time.Time) *RoundTrips {
	return &RoundTrips{now: now, zones: make(map[string]*leastTime)}
}

// leastTime is the least time of the current window and the one before.
type leastTime struct {
	began    time.Time // of the current window
	current  time.Duration
	previous time.Duration // 0 if there is none
}

func (l *leastTime) record(took time.Duration, now time.Time) {
	if now.Sub(l.began) >= roundTripWindow {
		// A window without a measurement keeps the one before.
		l.previous, l.current, l.began = l.current, took, now
	}
	l.current = min(l.current, took)
}

func (l *leastTime) get() time.Duration {
	if l.previous == 0 {
		return l.current
	}
	return min(l.current, l.previous)
}

// Record records the time from a request to an instance of a zone until its reply.
func (r *RoundTrips) Record(zone string, took time.Duration) {
	if zone == "" || took <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.zones[zone] == nil {
		r.zones[zone] = &leastTime{}
	}
	r.zones[zone].record(took, r.now())
}

// RoundTrip implements replicas.RoundTrips.
func (r *RoundTrips) RoundTrip(zone string) (least time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.zones[zone]
	if l == nil {
		return 0, false
	}
	return l.get(), true
}

// Milliseconds returns the round trips by zone, for the metrics.
func (r *RoundTrips) Milliseconds() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	trips := make(map[string]float64, len(r.zones))
	for zone, l := range r.zones {
		trips[zone] = float64(l.get()) / float64(time.Millisecond)
	}
	return trips
}

// timed returns a context for one HTTP request and a function that returns the time since
// the request got its connection. The time to open a connection does not count: it is a
// round trip of its own.
func timed(ctx context.Context) (timedCtx context.Context, elapsed func() time.Duration) {
	var mu sync.Mutex
	var began time.Time
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		began = time.Now()
	}}
	return httptrace.WithClientTrace(ctx, trace), func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if began.IsZero() {
			return 0
		}
		return time.Since(began)
	}
}
