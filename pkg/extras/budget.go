// Package extras limits the extra load of hedges and retries on a service. The
// bound holds for all instances together, without a coordinator: each instance
// keeps to the ratio for the requests that it has received itself, and to its
// share of the fixed allowance.
package extras

import (
	"sync"
	"time"
)

const (
	// buckets divide the window; a bucket counts until all of it is older than
	// the window.
	buckets = 20
	// ratioShare of the stated ratio is used. The rest covers requests that the
	// platform counts in a window and that this instance counts in the next one.
	ratioShare = 0.9
	// allowanceShare of the fixed allowance is divided among the instances. A
	// restarted instance has forgotten what it has spent, so that one window can
	// hold more than one share of it.
	allowanceShare = 0.7
)

// Limits are the platform's bound on arrivals beyond the first of each request.
type Limits struct {
	Ratio     float64       // per request for the service
	Allowance float64       // in each window, for all instances together
	Window    time.Duration // sliding
}

// Budget counts requests and extra arrivals per service. It is safe for
// concurrent use.
type Budget struct {
	limits Limits
	share  func() float64 // part of the allowance that this instance may spend

	mu       sync.Mutex
	services map[string]*window
}

// New returns a budget in which nothing is spent. Share is the part of the
// allowance that this instance may spend; all shares together are at most 1.
func New(limits Limits, share func() float64) *Budget {
	return &Budget{limits: limits, share: share, services: make(map[string]*window)}
}

// Request counts a caller's request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windowLocked(service, now).current().requests++
}

// Spend takes one extra arrival and reports whether the budget allows it. The
// caller has to send the attempt that was allowed, or else return it.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(service, now)
	if w.extras()+1 > b.allowed(w) {
		return false
	}
	w.current().extras++
	return true
}

// Return gives back an extra arrival that has not reached any backend server.
func (b *Budget) Return(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.windowLocked(service, now).current(); c.extras > 0 {
		c.extras--
	}
}

// Left returns the extra arrivals that a service may get at the moment.
func (b *Budget) Left(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(service, now)
	return b.allowed(w) - w.extras()
}

func (b *Budget) allowed(w *window) float64 {
	return ratioShare*b.limits.Ratio*w.requests() + allowanceShare*b.limits.Allowance*b.share()
}

func (b *Budget) windowLocked(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{step: b.limits.Window / buckets, start: now}
		b.services[service] = w
	}
	w.advance(now)
	return w
}
