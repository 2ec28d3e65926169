package forward

import (
	"sync"
	"time"
)

// priorityMemory is how long a request of a priority shows that more of them may need
// capacity. It is longer than the pauses between requests of an instance with more than
// negligible traffic.
const priorityMemory = time.Second

// recentPriorities records the priorities of recent sharded requests. It is safe for
// concurrent use.
type recentPriorities struct {
	mu   sync.Mutex
	seen map[int]time.Time // latest request by priority; 0 is the highest priority
}

func newRecentPriorities() *recentPriorities { return &recentPriorities{seen: make(map[int]time.Time)} }

// record records a request of a priority that arrived at now.
func (r *recentPriorities) record(priority int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[priority] = now
}

// hasHigher reports whether there were recent requests of a higher priority.
func (r *recentPriorities) hasHigher(priority int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, at := range r.seen {
		if now.Sub(at) > priorityMemory {
			delete(r.seen, other)
			continue
		}
		if other < priority {
			return true
		}
	}
	return false
}
