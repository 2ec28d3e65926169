package shedding

import "sync"

// urgentShare is the share of the bound on bytes that is kept for the highest priority.
const urgentShare = 0.25

// Bytes bounds the bytes that this instance holds for requests in progress. It is safe for
// concurrent use.
type Bytes struct {
	limit func() int64

	mu   sync.Mutex
	held int64
}

// NewBytes returns a bound without requests. Limit returns the bound.
func NewBytes(limit func() int64) *Bytes { return &Bytes{limit: limit} }

// Held returns the bytes that are held now.
func (b *Bytes) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Lease is what one request holds of a bound. It is not safe for concurrent use.
type Lease struct {
	bytes  *Bytes
	urgent bool
	held   int64
}

// Lease returns an empty lease. Urgent requests, those of the highest priority, may use the
// whole bound, others leave a part of it.
func (b *Bytes) Lease(urgent bool) *Lease { return &Lease{bytes: b, urgent: urgent} }

// Grow adds n bytes and reports whether the bound allows it. Otherwise nothing is added.
func (l *Lease) Grow(n int64) bool {
	limit := l.bytes.limit()
	if !l.urgent {
		limit -= int64(urgentShare * float64(limit))
	}
	l.bytes.mu.Lock()
	defer l.bytes.mu.Unlock()
	if l.bytes.held+n > limit {
		return false
	}
	l.bytes.held += n
	l.held += n
	return true
}

// Release gives all bytes back.
func (l *Lease) Release() {
	l.bytes.mu.Lock()
	defer l.bytes.mu.Unlock()
	l.bytes.held -= l.held
	l.held = 0
}
