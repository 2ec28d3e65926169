package shedding

import (
	"cmp"
	"slices"
	"sync"
)

// maxPassed is how often more urgent attempts may go before a less urgent one that waits for
// the same service. The least urgent of n priorities then gets at least one in maxPassed+n
// starts, more than a quarter of its even share for up to four priorities.
const maxPassed = 5

// Waiter is a first attempt of a request that waits for capacity of a service.
type Waiter struct {
	service  string
	priority int
	returned bool // the request came back after a refusal
	number   uint64
	wake     chan<- struct{}
}

// Queue orders the first attempts of this instance that wait for the servers of a service. It
// is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	services map[string]*serviceQueue // services with waiters
	joined   uint64
}

type serviceQueue struct {
	waiters []*Waiter   // in the order of compare
	passed  map[int]int // by priority: starts of more urgent attempts since the last own start
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{services: make(map[string]*serviceQueue)} }

// compare orders by priority, then requests that came back before new ones, then by arrival.
func compare(a, b *Waiter) int {
	returned := 0
	if a.returned != b.returned {
		returned = 1
		if a.returned {
			returned = -1
		}
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), returned, cmp.Compare(a.number, b.number))
}

// Join adds an attempt. Wake, which must be buffered, gets a value when the attempt is first
// and capacity may be free.
func (q *Queue) Join(service string, priority int, returned bool, wake chan<- struct{}) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.joined++
	w := &Waiter{service: service, priority: priority, returned: returned, number: q.joined, wake: wake}
	s := q.services[service]
	if s == nil {
		s = &serviceQueue{passed: make(map[int]int)}
		q.services[service] = s
	}
	at, _ := slices.BinarySearchFunc(s.waiters, w, compare)
	s.waiters = slices.Insert(s.waiters, at, w)
	return w
}

// IsFirst reports whether no other attempt goes before this one.
func (q *Queue) IsFirst(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	return s == nil || s.first() == w
}

// Ahead returns the number of waiting attempts that go before a new one.
func (q *Queue) Ahead(service string, priority int, returned bool) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[service]
	if s == nil {
		return 0
	}
	next := &Waiter{priority: priority, returned: returned, number: q.joined + 1}
	ahead, _ := slices.BinarySearchFunc(s.waiters, next, compare)
	if first := s.first(); ahead == 0 && compare(first, next) > 0 && s.passed[first.priority] >= maxPassed {
		return 1
	}
	return ahead
}

// Started records that an attempt starts that did not wait.
func (q *Queue) Started(service string, priority int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.services[service]; s != nil {
		s.started(priority)
	}
}

// Leave removes an attempt, which starts or is given up.
func (q *Queue) Leave(w *Waiter, starts bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	if s == nil {
		return
	}
	wasFirst := len(s.waiters) > 0 && s.first() == w
	s.waiters = slices.DeleteFunc(s.waiters, func(other *Waiter) bool { return other == w })
	if starts {
		s.started(w.priority)
	}
	switch {
	case len(s.waiters) == 0:
		delete(q.services, w.service)
	case wasFirst:
		s.wakeFirst()
	}
}

// IsDue reports whether an attempt is first because its priority was passed too often.
func (q *Queue) IsDue(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	return s != nil && s.first() == w && s.passed[w.priority] >= maxPassed
}

// Wake wakes the attempt that is first, because capacity of the service has become free.
func (q *Queue) Wake(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[service]
	if s != nil {
		s.wakeFirst()
	}
}

func (s *serviceQueue) wakeFirst() {
	select {
	case s.first().wake <- struct{}{}:
	default:
	}
}

// first returns the attempt that goes next: the first one of a priority that was passed too
// often, otherwise that of the highest priority.
func (s *serviceQueue) first() *Waiter {
	next := s.waiters[0]
	overdue := false
	for priority, passed := range s.passed {
		if passed < maxPassed || overdue && priority > next.priority {
			continue
		}
		if at := s.startOf(priority); at < len(s.waiters) && s.waiters[at].priority == priority {
			next, overdue = s.waiters[at], true
		}
	}
	return next
}

// startOf returns the position of the first attempt that is not more urgent than a priority.
func (s *serviceQueue) startOf(priority int) int {
	at, _ := slices.BinarySearchFunc(s.waiters, priority, func(w *Waiter, p int) int { return cmp.Compare(w.priority, p) })
	return at
}

// started counts the start of an attempt for each less urgent priority that waits.
func (s *serviceQueue) started(priority int) {
	s.passed[priority] = 0
	for at := s.startOf(priority + 1); at < len(s.waiters); {
		next := s.waiters[at].priority
		s.passed[next]++
		at = s.startOf(next + 1)
	}
}
