package shedding

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// overload lets requests of equal work arrive at even intervals, for each priority offered times
// as many as servers do in time, and returns how many of each were admitted.
func overload(a *Admission, classes int, offered float64, length time.Duration) (admitted []int, each, served int) {
	const perSecond = 20 // requests that servers do in time
	now := time.Unix(100, 0)
	for range 2 * perSecond {
		now = now.Add(time.Second / perSecond)
		a.Done(1, true, now)
	}
	for range 10 {
		a.Done(1, false, now)
	}
	admitted = make([]int, classes)
	free := now // when servers have done what was admitted
	for interval := time.Duration(float64(time.Second) / (offered * perSecond)); length > 0; length -= interval {
		now = now.Add(interval)
		each++
		for priority := range classes {
			if a.Admit(1, priority, priority, false, now) {
				admitted[priority]++
				if free.Before(now) {
					free = now
				}
				inTime := free.Sub(now) < 200*time.Millisecond
				if inTime { // what would be late is given up
					free = free.Add(time.Second / perSecond)
				}
				served += btoi(inTime)
				a.Done(1, inTime, now)
			}
		}
	}
	return admitted, each, served
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against an overload in which every request is late because all are admitted, against
// one in which the less urgent are served rather than the more urgent, and against starvation.
func TestOverloadAdmitsWhatCanBeServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := rapid.IntRange(1, 3).Draw(t, "classes")
		offered := rapid.Float64Range(1.2, 4).Draw(t, "offered") / float64(classes)
		admitted, each, served := overload(NewAdmission(func(bool) {}), classes, offered, 20*time.Second)
		total := 0
		for priority, n := range admitted {
			total += n
			assert.Assert(t, priority == 0 || n <= admitted[priority-1]+each/20, "%v of %d each", admitted, each)
		}
		assert.Assert(t, served >= 20*20*7/10, "%d in time, %v of %d each", served, admitted, each)
		assert.Assert(t, total <= served*3/2, "%d in time, %v of %d each", served, admitted, each)
		assert.Assert(t, 4*classes*admitted[classes-1] >= total, "%v of %d each", admitted, each)
	})
}

// Guards against requests that are refused without a shortage, or for long after it.
func TestAdmissionEndsWithTheOverload(t *testing.T) {
	var changes []bool
	a := NewAdmission(func(active bool) { changes = append(changes, active) })
	now := time.Unix(100, 0)
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		assert.Assert(t, a.Admit(1, 1, 1, false, now))
		a.Done(1, true, now)
	}
	a.Done(1, false, now)
	assert.Assert(t, a.Admit(1, 1, 1, false, now), "one late request")
	for range 4 {
		a.Done(1, false, now)
	}
	now = now.Add(900 * time.Millisecond) // the work done in time falls below half
	refused := 0
	for range 400 {
		now = now.Add(20 * time.Millisecond)
		if !a.Admit(1, 0, 0, false, now) {
			refused++
			continue
		}
		a.Done(1, true, now)
	}
	assert.Assert(t, refused > 0)
	assert.DeepEqual(t, changes, []bool{true, false})
}

// Guards against refusals that help nobody, because servers are slow with little work too.
func TestRefusalsEndWhenTheyDoNotHelp(t *testing.T) {
	a, now := NewAdmission(func(bool) {}), time.Unix(100, 0)
	admitted := 0
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		if a.Admit(1, 0, 0, false, now) {
			admitted++
			a.Done(1, false, now)
		}
	}
	assert.Assert(t, admitted > 300, "%d", admitted)
}

// Guards against callers that were refused and are refused again in favour of new requests.
func TestReturnedRequestsAreAdmittedFirst(t *testing.T) {
	a, now := NewAdmission(func(bool) {}), time.Unix(100, 0)
	for range 40 {
		now = now.Add(20 * time.Millisecond)
		a.Done(1, true, now)
	}
	for range 10 {
		a.Done(1, false, now)
	}
	for !a.Admit(1, 1, 1, true, now) {
		now = now.Add(time.Millisecond)
	}
	now = now.Add(5 * time.Millisecond)
	assert.Assert(t, !a.Admit(1, 1, 1, false, now))
	for !a.Admit(1, 1, 1, true, now) {
		now = now.Add(time.Millisecond)
		assert.Assert(t, !a.Admit(1, 1, 1, false, now))
	}
}
