package shedding

import (
	"sync"
	"time"
)

// classMemory is how long a request of a priority shows that more of them may need capacity.
// It is longer than the pauses between requests of an instance with more than negligible
// traffic.
const classMemory = time.Second

// Classes records the priorities of recent requests. It is safe for concurrent use.
type Classes struct {
	mu   sync.Mutex
	seen map[int]time.Time // latest request by priority; 0 is the highest priority
}

// NewClasses returns a record without requests.
func NewClasses() *Classes { return &Classes{seen: make(map[int]time.Time)} }

// Record records a request of a priority that arrived at now.
func (c *Classes) Record(priority int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[priority] = now
}

// Rank returns the number of recent priorities that are more urgent and that are less urgent.
func (c *Classes) Rank(priority int, now time.Time) (above, below int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, at := range c.seen {
		switch {
		case now.Sub(at) > classMemory:
			delete(c.seen, other)
		case other < priority:
			above++
		case other > priority:
			below++
		}
	}
	return above, below
}

// HasHigher reports whether there were recent requests of a higher priority.
func (c *Classes) HasHigher(priority int, now time.Time) bool {
	above, _ := c.Rank(priority, now)
	return above > 0
}
