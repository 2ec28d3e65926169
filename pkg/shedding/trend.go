package shedding

import "time"

// Level tells how short a capacity is.
type Level int

// Levels of shortage.
const (
	Ample  Level = iota
	Short        // hedges of the least urgent are left out
	Severe       // hedges of all but the most urgent, and spare parts of the least urgent, are left out
)

const (
	// trendWeight is the weight of a new observation in the moving average. Three late
	// observations in a row reach shortShare: one pause of one server, which hedges cover,
	// does not.
	trendWeight = 0.1
	// A level is entered at a share of late observations and left at a lower one, so that
	// an observation close to a threshold does not change the level each time.
	shortShare  = 0.25
	ampleShare  = 0.1
	severeShare = 0.5
	// trendExpiry is how long a level lasts without observations.
	trendExpiry = 3 * time.Second
)

// trend is a moving average of the share of observations that were late, with the level that
// follows from it.
type trend struct {
	share   float64
	level   Level
	updated time.Time
}

func (t *trend) record(late bool, now time.Time) {
	if now.Sub(t.updated) > trendExpiry {
		*t = trend{}
	}
	t.updated = now
	sample := 0.0
	if late {
		sample = 1
	}
	t.share += trendWeight * (sample - t.share)
	switch {
	case t.share >= severeShare:
		t.level = Severe
	case t.share >= shortShare:
		t.level = max(t.level, Short)
	case t.share >= ampleShare:
		t.level = min(t.level, Short)
	default:
		t.level = Ample
	}
}

func (t *trend) current(now time.Time) Level {
	if now.Sub(t.updated) > trendExpiry {
		return Ample
	}
	return t.level
}
