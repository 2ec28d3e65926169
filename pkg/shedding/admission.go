package shedding

import (
	"math"
	"sync"
	"time"
)

const (
	// admissionMemory is the time constant of the rate of work that was done in time. It spans
	// several requests of an instance with little traffic.
	admissionMemory = time.Second
	// The admitted work is a multiple of the work that was done in time: more while few
	// requests are late, so that it grows again when capacity is back.
	growthInTime = 1.5
	growthLate   = 1.1
	// minAdmitted is the share of the offered work that is admitted at least. Its outcome
	// shows when capacity is back.
	minAdmitted = 0.1
	// admissionBurst is the time whose work may be admitted at once.
	admissionBurst = 200 * time.Millisecond
	// classReserve is the share of the burst that a priority leaves to each more urgent one.
	// Requests that came back may use half of it.
	classReserve = 0.5
	// futileAfter and futileLate are the time, and the number of requests, after which refusals
	// end for futileHold if all that was admitted meanwhile was late: servers are then slow
	// with little work too, and a late answer is better than none.
	futileAfter = 500 * time.Millisecond
	futileLate  = 5
	futileHold  = 10 * time.Second
	// admissionHold is how long requests are counted after the last one was refused.
	admissionHold = 3 * time.Second
)

// Admission bounds the work that this instance begins while requests are late because servers
// lack capacity. Work is admitted in proportion to what was done in time, the most urgent first.
// It is safe for concurrent use.
type Admission struct {
	onChange func(active bool) // called with the lock held

	mu          sync.Mutex
	late        trend
	active      bool
	lastInTime  time.Time // or when refusals began
	lateInARow  int
	futileUntil time.Time
	lastRefused time.Time
	updated     time.Time
	done        float64     // work in time, per second
	offered     float64     // work, per second
	tokens      float64     // work that may begin now
	passed      map[int]int // by priority: more urgent requests admitted since one was refused
}

// NewAdmission returns an admission that admits everything. It calls onChange when it begins and
// when it ceases to bound the work; onChange must not block.
func NewAdmission(onChange func(active bool)) *Admission {
	return &Admission{onChange: onChange, passed: make(map[int]int)}
}

// Done records whether a request was answered in time, or was late because servers lacked
// capacity. Work is what it needed of the servers, in seconds.
func (a *Admission) Done(work float64, inTime bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advanceLocked(now)
	a.late.record(!inTime, now)
	a.lateInARow++
	if inTime {
		a.done += work / admissionMemory.Seconds()
		a.lastInTime, a.lateInARow = now, 0
	}
	switch {
	case !a.active && a.late.level >= Short && !now.Before(a.futileUntil):
		a.lastRefused, a.tokens = now, 0
		a.setActiveLocked(true)
		a.lastInTime, a.lateInARow = now, 0
	case a.active && a.lateInARow >= futileLate && now.Sub(a.lastInTime) > futileAfter:
		a.futileUntil = now.Add(futileHold)
		a.setActiveLocked(false)
	}
}

// Admit reports whether a request may begin. Above is the number of recent priorities that are
// more urgent.
func (a *Admission) Admit(work float64, priority, above int, returned bool, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advanceLocked(now)
	a.offered += work / admissionMemory.Seconds()
	if !a.active {
		return true
	}
	reserve := float64(above) * classReserve * a.burstLocked()
	if returned {
		reserve -= classReserve / 2 * a.burstLocked()
	}
	if a.tokens < reserve && a.passed[priority] < maxPassed {
		a.lastRefused = now
		a.passed[priority] += 0 // counts the more urgent ones that are admitted from now on
		return false
	}
	a.tokens -= work
	delete(a.passed, priority)
	for other := range a.passed {
		if other > priority {
			a.passed[other]++
		}
	}
	return true
}

func (a *Admission) setActiveLocked(active bool) {
	a.active = active
	clear(a.passed)
	a.onChange(active)
}

// rateLocked returns the work that may begin, per second.
func (a *Admission) rateLocked() float64 {
	growth := growthInTime
	if a.late.level != Ample {
		growth = growthLate
	}
	return max(growth*a.done, minAdmitted*a.offered)
}

func (a *Admission) burstLocked() float64 { return a.rateLocked() * admissionBurst.Seconds() }

func (a *Admission) advanceLocked(now time.Time) {
	passed := max(now.Sub(a.updated), 0)
	a.updated = now
	if a.active && (now.Sub(a.lastRefused) > admissionHold && a.late.current(now) == Ample) {
		a.setActiveLocked(false)
	}
	a.tokens = min(a.tokens+a.rateLocked()*passed.Seconds(), a.burstLocked())
	decay := math.Exp(-passed.Seconds() / admissionMemory.Seconds())
	a.done *= decay
	a.offered *= decay
}
