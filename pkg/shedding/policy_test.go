package shedding

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a level that changes with each observation, that outlives the shortage or that
// one pause of a server causes.
func TestShortageHasHysteresis(t *testing.T) {
	s, now := NewShortage(), time.Unix(100, 0)
	levels := func(late bool, n int) []Level {
		var seen []Level
		for range n {
			now = now.Add(10 * time.Millisecond)
			s.RecordPart("s", late, now)
			if level := s.Service("s", now); len(seen) == 0 || level != seen[len(seen)-1] {
				seen = append(seen, level)
			}
		}
		return seen
	}
	assert.DeepEqual(t, levels(true, 2), []Level{Ample})
	assert.DeepEqual(t, levels(false, 20), []Level{Ample})
	assert.DeepEqual(t, levels(true, 20), []Level{Ample, Short, Severe})
	assert.DeepEqual(t, levels(false, 30), []Level{Severe, Short, Ample})
	levels(true, 20)
	assert.Equal(t, s.Service("s", now.Add(trendExpiry+1)), Ample)
	assert.Equal(t, s.Service("other", now), Ample)
}

// Guards against hedges that are lost without need, and against hedges of the less urgent that
// take the capacity of a service that is short.
func TestHedgesOfTheLeastUrgentStopFirst(t *testing.T) {
	p, now := NewPolicy(func(bool) {}), time.Unix(100, 0)
	for priority := range 3 {
		p.Classes.Record(priority, now)
	}
	may := func() (allowed [3]bool) {
		for priority := range allowed {
			allowed[priority] = p.MayHedge("s", priority, now)
		}
		return allowed
	}
	assert.DeepEqual(t, may(), [3]bool{true, true, true})
	for range 4 {
		p.Shortage.RecordPart("s", true, now)
	}
	assert.DeepEqual(t, may(), [3]bool{true, true, false})
	assert.Assert(t, !p.LeaveOut("s", 2, 4, 0, now))
	for range 10 {
		p.Shortage.RecordPart("s", true, now)
	}
	assert.DeepEqual(t, may(), [3]bool{true, false, false})
	// Of four parts that the answer may lack, two are left out, only for the least urgent.
	assert.Assert(t, p.LeaveOut("s", 2, 4, 1, now))
	assert.Assert(t, !p.LeaveOut("s", 2, 4, 2, now))
	assert.Assert(t, !p.LeaveOut("s", 1, 4, 0, now))
	now = now.Add(classMemory + time.Millisecond)
	assert.Assert(t, p.MayHedge("s", 2, now), "no more urgent requests beside it")
}

// Guards against hedges that use processor time which this instance lacks.
func TestLateTimersStopHedgesOfTheLeastUrgent(t *testing.T) {
	p, now := NewPolicy(func(bool) {}), time.Unix(100, 0)
	p.Classes.Record(0, now)
	p.Classes.Record(1, now)
	for range 5 {
		p.Shortage.RecordTimer(LateTimer-1, now)
	}
	assert.Assert(t, p.MayHedge("s", 1, now))
	for range 5 {
		p.Shortage.RecordTimer(LateTimer, now)
	}
	assert.Assert(t, !p.MayHedge("s", 1, now))
	assert.Assert(t, p.MayHedge("s", 0, now))
}

// Guards against memory that grows with the services of earlier tables.
func TestRecordsOfServicesAreBounded(t *testing.T) {
	s, now := NewShortage(), time.Unix(100, 0)
	for i := range 3 * maxServices {
		now = now.Add(10 * time.Millisecond)
		s.RecordPart(string(rune(i)), true, now)
	}
	assert.Assert(t, len(s.services) <= maxServices)
	s.RecordPart("new", true, now)
	assert.Assert(t, s.services["new"] != nil)
}
