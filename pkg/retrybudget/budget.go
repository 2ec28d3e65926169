// Package retrybudget implements the retry budget: it limits the load that hedges and
// retries add to a service. The limit holds for all instances together without
// coordination: each instance applies the ratio to the requests that it has
// received itself, and uses only its share of the fixed allowance.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets that the window is divided into. A bucket
	// counts until it is entirely older than the window.
	bucketCount = 20
	// ratioShare is the share of the stated ratio that is used. The rest covers
	// requests that the platform counts in one window and this instance in the next.
	ratioShare = 0.9
	// allowanceShare is the share of the fixed allowance that is divided among the
	// instances. A restarted instance does not know what it spent before, so it can
	// spend more than its part within one window.
	allowanceShare = 0.7
)

// shares are the parts of the limits that may be spent.
type shares struct{ ratio, allowance float64 }

var (
	usualShares = shares{ratio: ratioShare, allowance: allowanceShare}
	// sharesAfterLoss hold in the first window after the loss of all instances, which may have
	// spent the usual shares in the same window.
	sharesAfterLoss = shares{ratio: 1 - ratioShare, allowance: 1 - allowanceShare}
)

// Limits are the platform's limits on arrivals at a service beyond the first
// arrival of each request.
type Limits struct {
	Ratio     float64       // extra arrivals per request for the service
	Allowance float64       // further extra arrivals per window, for all instances together
	Window    time.Duration // length of the sliding window
}

// Budget counts requests and extra arrivals per service. It is safe for
// concurrent use.
type Budget struct {
	limits            Limits
	allowanceFraction func() float64 // fraction of the allowance that this instance may spend
	historyAge        func() time.Duration

	mu       sync.Mutex
	services map[string]*window
}

// New returns an unused budget. Share returns the fraction of the allowance that
// this instance may spend; the shares of all instances add up to at most 1. HistoryAge returns
// for how long some of the instances have run without all being lost at once.
func New(limits Limits, share func() float64, historyAge func() time.Duration) *Budget {
	return &Budget{limits: limits, allowanceFraction: share, historyAge: historyAge, services: make(map[string]*window)}
}

// CountRequest counts a caller's request for a service, which adds to the budget.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windowLocked(service, now).current().requests++
}

// Spend charges one extra arrival if the budget allows it, and reports whether it
// does. An attempt that is then not sent has to be given back with Refund.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(service, now)
	if w.extraAttempts()+1 > b.allowed(w) {
		return false
	}
	w.current().extraAttempts++
	return true
}

// Refund gives back an extra arrival that was charged but reached no backend server.
func (b *Budget) Refund(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.windowLocked(service, now).current(); c.extraAttempts > 0 {
		c.extraAttempts--
	}
}

// Remaining returns the number of extra arrivals that the budget still allows a service.
func (b *Budget) Remaining(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(service, now)
	return b.allowed(w) - w.extraAttempts()
}

func (b *Budget) allowed(w *window) float64 {
	s := usualShares
	if b.historyAge() < b.limits.Window {
		s = sharesAfterLoss
	}
	return s.ratio*b.limits.Ratio*w.requests() + s.allowance*b.limits.Allowance*b.allowanceFraction()
}

func (b *Budget) windowLocked(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{bucketLength: b.limits.Window / bucketCount, currentStart: now}
		b.services[service] = w
	}
	w.advance(now)
	return w
}
