package selection

import "time"

// service is the observed state of one service as a whole.
type service struct {
	latencies        latencyWindow
	serviceTimes     latencyWindow // excluding time in owners' queues
	load             load
	hedges           hedgeBudget
	retries          retryBudget
	pendingExtra     int // allowed hedges and retries that Begin has not recorded yet
	servers          map[string]*server
	ejectedCount     int       // ejected servers, valid until firstEjectionEnd
	firstEjectionEnd time.Time // earliest end of a current ejection
	now              time.Time // latest time passed in by callers
	lastSweep        time.Time
}

func newService() *service {
	return &service{
		latencies:    newLatencyWindow(),
		serviceTimes: newLatencyWindow(),
		retries:      newRetryBudget(),
		servers:      make(map[string]*server),
	}
}

func (s *service) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

// begin counts an attempt. An attempt that was not allowed as a hedge or retry is a
// first attempt and adds to the hedge and retry budgets.
func (s *service) begin(retryFraction float64) {
	if s.pendingExtra > 0 {
		s.pendingExtra--
		return
	}
	s.hedges.earn()
	s.retries.earn(retryFraction)
}

// mostEjected reports whether most servers of the service are ejected at once. The
// cause is then probably common to all of them, and honouring the ejections would
// only move load to the rest.
func (s *service) mostEjected(now time.Time) bool {
	if s.ejectedCount > 0 && !now.Before(s.firstEjectionEnd) {
		s.countEjected(now)
	}
	return 2*s.ejectedCount > len(s.servers)
}

func (s *service) countEjected(now time.Time) {
	s.ejectedCount = 0
	s.firstEjectionEnd = time.Time{}
	for _, server := range s.servers {
		if !server.ejection.active(now) {
			continue
		}
		s.ejectedCount++
		if s.firstEjectionEnd.IsZero() || server.ejection.until.Before(s.firstEjectionEnd) {
			s.firstEjectionEnd = server.ejection.until
		}
	}
}

// isSlow reports whether a replica's mean service time exceeds the median of the
// service by SlowFactor and by minSlowDifference.
func (s *service) isSlow(server *server, c Config) bool {
	median, ok := s.serviceTimes.quantile(0.5)
	if !ok || server.serviceTime.samples < c.SlowSamples {
		return false
	}
	limit := max(time.Duration(c.SlowFactor*float64(median)), median+minSlowDifference)
	return server.serviceTime.value > limit
}

// minSlowDifference keeps replicas of very fast services from being ejected for
// differences too small to matter.
const minSlowDifference = 5 * time.Millisecond
