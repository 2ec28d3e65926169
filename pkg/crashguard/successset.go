package crashguard

import "time"

// SuccessSet remembers when requests last succeeded, in two generations. When the
// newer generation is full, it replaces the older one. This bounds the memory and
// drops requests that are no longer sent. It is not safe for concurrent use.
type SuccessSet struct {
	generationSize int
	newer          map[uint64]int64 // Unix time in ns of the last success, by fingerprint
	older          map[uint64]int64
}

// NewSuccessSet returns an empty set that holds at most two generations of the
// given number of requests.
func NewSuccessSet(generationSize int) SuccessSet {
	return SuccessSet{generationSize: generationSize, newer: make(map[uint64]int64)}
}

// Record records that the request has succeeded now.
func (s *SuccessSet) Record(fingerprint uint64, now time.Time) {
	s.recordAt(fingerprint, now.UnixNano())
}

func (s *SuccessSet) recordAt(fingerprint uint64, at int64) {
	if _, known := s.newer[fingerprint]; !known && len(s.newer) >= s.generationSize {
		s.older = s.newer
		s.newer = make(map[uint64]int64)
	}
	s.newer[fingerprint] = at
}

// Contains reports whether the request has succeeded.
func (s *SuccessSet) Contains(fingerprint uint64) bool {
	_, ok := s.LastSuccess(fingerprint)
	return ok
}

// LastSuccess returns the Unix time in ns at which the request last succeeded. It
// moves the request to the newer generation, so that requests still in use are
// not dropped.
func (s *SuccessSet) LastSuccess(fingerprint uint64) (at int64, ok bool) {
	if at, ok = s.newer[fingerprint]; ok {
		return at, true
	}
	if at, ok = s.older[fingerprint]; ok {
		s.recordAt(fingerprint, at)
	}
	return at, ok
}

// SucceededSince reports whether the request has succeeded at t or later.
func (s *SuccessSet) SucceededSince(fingerprint uint64, t time.Time) bool {
	at, ok := s.LastSuccess(fingerprint)
	return ok && at >= t.UnixNano()
}
