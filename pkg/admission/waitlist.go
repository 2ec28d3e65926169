package admission

import (
	"slices"
	"sort"
)

// waitList holds the waiting requests in the order in which they are served. A
// sorted slice is sufficient for at most MaxWaiting requests, and gives access
// to both ends and to the position of a new request.
type waitList struct {
	waiters []*waiter
}

// position returns the number of waiting requests that are served before r.
func (l *waitList) position(r Request) int {
	return sort.Search(len(l.waiters), func(i int) bool {
		return r.before(l.waiters[i].request)
	})
}

func (l *waitList) insert(i int, w *waiter) { l.waiters = slices.Insert(l.waiters, i, w) }

func (l *waitList) popFirst() *waiter {
	first := l.waiters[0]
	l.waiters = slices.Delete(l.waiters, 0, 1)
	return first
}

func (l *waitList) popLast() *waiter {
	end := len(l.waiters) - 1
	last := l.waiters[end]
	l.waiters = slices.Delete(l.waiters, end, end+1)
	return last
}

// remove removes w and reports whether it was waiting.
func (l *waitList) remove(w *waiter) bool {
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return true
}

func (l *waitList) len() int { return len(l.waiters) }
