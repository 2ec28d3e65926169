package shedding

import (
	"sync"
	"time"
)

const (
	// returnWindow is how long after the end of its pause a caller may return.
	returnWindow = 2 * time.Second
	// maxRefused bounds the refused requests that are remembered. The oldest are dropped
	// first.
	maxRefused = 4096
)

// Refused remembers requests that were refused, by fingerprint, to recognise them when they come
// back. It is safe for concurrent use.
type Refused struct {
	mu    sync.Mutex
	until map[uint64]time.Time
	order []uint64 // fingerprints as added; some have returned already
}

// NewRefused returns an empty memory.
func NewRefused() *Refused { return &Refused{until: make(map[uint64]time.Time)} }

// Add remembers a request that was refused with the given pause.
func (r *Refused) Add(fingerprint uint64, pause time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until[fingerprint] = now.Add(pause + returnWindow)
	r.order = append(r.order, fingerprint)
	for len(r.order) > maxRefused {
		delete(r.until, r.order[0])
		r.order = r.order[1:]
	}
}

// Take reports whether a request was refused recently, and forgets it.
func (r *Refused) Take(fingerprint uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, known := r.until[fingerprint]
	delete(r.until, fingerprint)
	return known && now.Before(until)
}
