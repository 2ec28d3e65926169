package selection

import "time"

// service is what is known of one service as a whole.
type service struct {
	latencies latencyWindow
	work      latencyWindow // queue excluded
	load      load
	hedges    hedgeBudget
	retries   retryBudget
	extra     int // hedges and retries allowed whose Begin has not come yet
	servers   map[string]*server
	ejected   int       // of servers, valid before expiry
	expiry    time.Time // earliest end of an ejection
	now       time.Time // latest time passed in
	swept     time.Time
}

func newService() *service {
	return &service{
		latencies: newLatencyWindow(),
		work:      newLatencyWindow(),
		retries:   newRetryBudget(),
		servers:   make(map[string]*server),
	}
}

func (s *service) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

// begin counts an attempt. Attempts beyond the hedges and retries that were
// allowed are first attempts and earn budget for more.
func (s *service) begin(retryFraction float64) {
	if s.extra > 0 {
		s.extra--
		return
	}
	s.hedges.earn()
	s.retries.earn(retryFraction)
}

// commonFault reports whether most servers look bad at once. The cause is then
// outside of them, and ejecting them would only move load to the rest.
func (s *service) commonFault(now time.Time) bool {
	if s.ejected > 0 && !now.Before(s.expiry) {
		s.countEjected(now)
	}
	return 2*s.ejected > len(s.servers)
}

func (s *service) countEjected(now time.Time) {
	s.ejected = 0
	s.expiry = time.Time{}
	for _, server := range s.servers {
		if !server.ejection.active(now) {
			continue
		}
		s.ejected++
		if s.expiry.IsZero() || server.ejection.until.Before(s.expiry) {
			s.expiry = server.ejection.until
		}
	}
}

// isSlow reports whether a replica's service time exceeds the median of the
// service by the factor and by minSlowDifference.
func (s *service) isSlow(server *server, c Config) bool {
	median, ok := s.work.quantile(0.5)
	if !ok || server.work.samples < c.SlowSamples {
		return false
	}
	limit := max(time.Duration(c.SlowFactor*float64(median)), median+minSlowDifference)
	return server.work.value > limit
}

// minSlowDifference keeps replicas of very fast services from being ejected
// for differences that do not matter.
const minSlowDifference = 5 * time.Millisecond
