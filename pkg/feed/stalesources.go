package feed

import "time"

// staleSourcesInOutage is the number of times that other instances, one after the other, have lost
// the store from which the store is taken to be away for all. One alone may have lost its way to it.
const staleSourcesInOutage = 2

// staleSources counts the instances that have said that they have lost the store, since the store
// last confirmed the view.
type staleSources struct {
	count int
	last  time.Time
}

func (s *staleSources) record(now, confirmed time.Time) {
	if confirmed.After(s.last) {
		s.count = 0
	}
	s.count++
	s.last = now
}

// tellOfOutage reports whether the store has been away since it last confirmed the view.
func (s *staleSources) tellOfOutage(confirmed time.Time) bool {
	return s.count >= staleSourcesInOutage && !confirmed.After(s.last)
}
