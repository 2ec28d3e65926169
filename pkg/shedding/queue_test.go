package shedding

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against capacity that goes to an attempt while a more urgent one, one that came back
// or an older one waits, unless its own priority was passed over too often.
func TestOrderOfWaitingAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		var waiting []*Waiter
		passed := map[int]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(waiting) == 0 || rapid.Bool().Draw(t, "join") {
				waiting = append(waiting, q.Join("s", rapid.IntRange(0, 3).Draw(t, "priority"), rapid.Bool().Draw(t, "returned"), make(chan struct{}, 1)))
				continue
			}
			at := -1
			for i, w := range waiting {
				if q.IsFirst(w) {
					assert.Equal(t, at, -1, "two attempts are first")
					at = i
				}
			}
			next := waiting[at]
			for _, other := range waiting {
				if passed[next.priority] < maxPassed {
					assert.Assert(t, compare(next, other) <= 0, "%+v goes before %+v", next, other)
				}
			}
			waiting = append(waiting[:at:at], waiting[at+1:]...)
			q.Leave(next, true)
			present := map[int]bool{}
			for _, other := range waiting {
				present[other.priority] = true
			}
			passed[next.priority] = 0
			for priority := range present {
				if priority > next.priority {
					passed[priority]++
				}
			}
			if len(waiting) == 0 {
				clear(passed)
			}
		}
	})
}

// Guards against starvation: when all priorities ask for more than there is, the least urgent
// must be served at least a quarter as often as all of them together, each per request.
func TestTheLeastUrgentIsNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := rapid.IntRange(2, 4).Draw(t, "classes")
		q := NewQueue()
		served := make([]int, classes)
		const starts = 200
		for range starts {
			for priority := range classes {
				q.Join("s", priority, false, nil)
			}
			next := q.services["s"].first()
			served[next.priority]++
			q.Leave(next, true)
		}
		assert.Assert(t, 4*classes*served[classes-1] >= starts*9/10, "%v", served)
		for priority := 1; priority < classes; priority++ {
			assert.Assert(t, served[0] > served[priority], "%v", served)
		}
	})
}

// Guards against an attempt that waits for the next poll although capacity is free, and against
// one behind it that is woken instead.
func TestFreeCapacityWakesTheFirst(t *testing.T) {
	q := NewQueue()
	first, second := make(chan struct{}, 1), make(chan struct{}, 1)
	later := q.Join("s", 1, false, second)
	urgent := q.Join("s", 0, false, first)
	q.Wake("s")
	q.Wake("other")
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(second), 0)
	q.Leave(urgent, true)
	assert.Equal(t, len(second), 1)
	q.Leave(later, false)
	assert.Equal(t, len(q.services), 0)
}
