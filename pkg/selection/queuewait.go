package selection

import "time"

// QueueWait returns the mean time that recent attempts of a service spent in
// owners' queues, or 0 if there are too few attempts.
func (s *Selector) QueueWait(service string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.services[service]
	if state == nil {
		return 0
	}
	state.load.age(now)
	if state.load.attempts < minAttempts {
		return 0
	}
	return time.Duration(state.load.queueSeconds / state.load.attempts * float64(time.Second))
}
