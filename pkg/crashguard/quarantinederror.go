package crashguard

import (
	"fmt"
	"time"
)

// QuarantinedError refuses a request that has not run.
type QuarantinedError struct {
	Fingerprint uint64
	Crashes     int // independent crashes
	Until       time.Time
	// Provisional is set while the newest crash may still turn out to be part
	// of a correlated loss, or while the request is already running as often
	// as its limit allows. Such a refusal lasts for CorrelationWindow or until
	// the running attempt ends.
	Provisional bool
}

// Error names fingerprint and crashes.
func (e *QuarantinedError) Error() string {
	kind := "quarantined"
	if e.Provisional {
		kind = "suspected"
	}
	return fmt.Sprintf("request %s is %s after crashing %d backend servers", FormatFingerprint(e.Fingerprint), kind, e.Crashes)
}
