package shedding

import (
	"sync"
	"time"
)

// LateTimer is how late a timer has to fire to count as late: this instance had no processor
// time.
const LateTimer = 5 * time.Millisecond

// maxServices bounds the services with a record. Records without observations are dropped
// first.
const maxServices = 4096

// Shortage tells which services, and whether this instance's own processor time, are short. It
// is safe for concurrent use.
type Shortage struct {
	mu        sync.Mutex
	services  map[string]*trend
	processor trend
}

// NewShortage returns a Shortage without observations.
func NewShortage() *Shortage { return &Shortage{services: make(map[string]*trend)} }

// RecordPart records whether a part of a service was late or had to wait for a server.
func (s *Shortage) RecordPart(service string, late bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.services[service]
	if t == nil {
		if !late {
			return // a service without a record has ample capacity
		}
		if len(s.services) >= maxServices {
			s.sweepLocked(now)
		}
		if len(s.services) >= maxServices {
			return
		}
		t = &trend{}
		s.services[service] = t
	}
	t.record(late, now)
}

func (s *Shortage) sweepLocked(now time.Time) {
	for service, t := range s.services {
		if now.Sub(t.updated) > trendExpiry {
			delete(s.services, service)
		}
	}
}

// RecordTimer records by how much a timer of this instance was late.
func (s *Shortage) RecordTimer(late time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processor.record(late >= LateTimer, now)
}

// Service returns how short a service is for this instance: its servers, or the processor time
// to ask them.
func (s *Shortage) Service(service string, now time.Time) Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	level := s.processor.current(now)
	if t := s.services[service]; t != nil {
		level = max(level, t.current(now))
	}
	return level
}

// Processor returns how short this instance's own processor time is.
func (s *Shortage) Processor(now time.Time) Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processor.current(now)
}

// Counts returns the number of services that are short, for metrics.
func (s *Shortage) Counts(now time.Time) (short, severe int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.services {
		switch t.current(now) {
		case Short:
			short++
		case Severe:
			severe++
		}
	}
	return short, severe
}
