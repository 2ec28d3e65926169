package forward

import (
	"sync"
	"time"
)

// rankMemory is how long a request of a rank counts as one that may need room: longer
// than the pauses between the requests of an instance that has any to speak of.
const rankMemory = time.Second

// ranks knows which priorities sharded requests have had of late. It is safe for
// concurrent use.
type ranks struct {
	mu   sync.Mutex
	seen map[int]time.Time // by priority; 0 comes first
}

func newRanks() *ranks { return &ranks{seen: make(map[int]time.Time)} }

// note records a request.
func (r *ranks) note(priority int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[priority] = now
}

// outranked reports whether requests come that go before those of the priority.
func (r *ranks) outranked(priority int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, at := range r.seen {
		if now.Sub(at) > rankMemory {
			delete(r.seen, other)
			continue
		}
		if other < priority {
			return true
		}
	}
	return false
}
