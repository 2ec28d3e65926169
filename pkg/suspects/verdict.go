package suspects

import "time"

// Verdict states how a request may be sent.
type Verdict struct {
	Losses int       // runs of servers lost under the request; 0 for a request without suspicion
	Since  time.Time // when the loss that quarantined the request became known; zero without quarantine
	Latest time.Time // when the latest server was lost
	Until  time.Time // end of the suspicion
}

// Suspected reports whether the request may be sent to one server at a time only.
func (v Verdict) Suspected() bool { return v.Losses > 0 }

// Quarantined reports whether the request may not be sent to any server.
func (v Verdict) Quarantined() bool { return !v.Since.IsZero() }

// RetryAfter returns when a request in quarantine may be tried again: soon as long as the
// servers may still turn out to be alive, otherwise at the end of the quarantine.
func (v Verdict) RetryAfter(now time.Time) time.Duration {
	if settled := v.Latest.Add(restartTime); now.Before(settled) {
		return settled.Sub(now)
	}
	return v.Until.Sub(now)
}
