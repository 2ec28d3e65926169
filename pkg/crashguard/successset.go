package crashguard

import "time"

// successSet remembers when requests last succeeded, in two generations. When the
// newer generation is full, it replaces the older one. This bounds the memory and
// drops requests that are no longer sent.
type successSet struct {
	newer map[uint64]int64 // Unix time in ns of the last success
	older map[uint64]int64
}

func newSuccessSet() successSet {
	return successSet{newer: make(map[uint64]int64)}
}

func (s *successSet) record(fingerprint uint64, now time.Time) {
	s.recordAt(fingerprint, now.UnixNano())
}

func (s *successSet) recordAt(fingerprint uint64, at int64) {
	if _, known := s.newer[fingerprint]; !known && len(s.newer) >= maxSuccessesPerGeneration {
		s.older = s.newer
		s.newer = make(map[uint64]int64)
	}
	s.newer[fingerprint] = at
}

// contains reports whether the request has succeeded.
func (s *successSet) contains(fingerprint uint64) bool {
	_, ok := s.lastSuccess(fingerprint)
	return ok
}

// lastSuccess returns the Unix time in ns at which the request last succeeded. It
// moves the request to the newer generation, so that requests still in use are
// not dropped.
func (s *successSet) lastSuccess(fingerprint uint64) (at int64, ok bool) {
	if at, ok = s.newer[fingerprint]; ok {
		return at, true
	}
	if at, ok = s.older[fingerprint]; ok {
		s.recordAt(fingerprint, at)
	}
	return at, ok
}

// succeededSince reports whether the request has succeeded at t or later.
func (s *successSet) succeededSince(fingerprint uint64, t time.Time) bool {
	at, ok := s.lastSuccess(fingerprint)
	return ok && at >= t.UnixNano()
}
