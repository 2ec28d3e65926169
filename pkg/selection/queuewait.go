package selection

import "time"

// QueueWait returns the mean time that recent attempts of a service spent in
// owners' queues, 0 while there are too few.
func (s *Selector) QueueWait(service string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.services[service]
	if known == nil {
		return 0
	}
	known.load.age(now)
	if known.load.attempts < loadMinWeight {
		return 0
	}
	return time.Duration(known.load.queued / known.load.attempts * float64(time.Second))
}
