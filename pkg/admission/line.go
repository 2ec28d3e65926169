package admission

import (
	"slices"
	"sort"
)

// line holds the waiting requests in serving order. A sorted slice suits the
// small bound: both ends and the position of a new request are needed.
type line struct {
	waiters []*waiter
}

// position returns the number of waiting requests that are served before r.
func (l *line) position(r Request) int {
	return sort.Search(len(l.waiters), func(i int) bool {
		return r.before(l.waiters[i].request)
	})
}

func (l *line) insert(i int, w *waiter) { l.waiters = slices.Insert(l.waiters, i, w) }

func (l *line) popFirst() *waiter {
	first := l.waiters[0]
	l.waiters = slices.Delete(l.waiters, 0, 1)
	return first
}

func (l *line) popLast() *waiter {
	end := len(l.waiters) - 1
	last := l.waiters[end]
	l.waiters = slices.Delete(l.waiters, end, end+1)
	return last
}

// remove reports whether w was waiting.
func (l *line) remove(w *waiter) bool {
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return true
}

func (l *line) len() int { return len(l.waiters) }
