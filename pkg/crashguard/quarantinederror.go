package crashguard

import (
	"fmt"
	"time"
)

// QuarantinedError is returned for a request that must not run, because it has
// crashed backend servers or may do so.
type QuarantinedError struct {
	Fingerprint uint64
	Crashes     int       // independent crashes, see the package documentation
	Until       time.Time // end of the quarantine
	// Provisional is set while the newest crash may still turn out to be part of a
	// correlated loss, or while the running attempts of the request could reach
	// the crash limit. Such a refusal lasts for CorrelationWindow or until a running
	// attempt ends.
	Provisional bool
}

// Error returns a message with the fingerprint and the number of crashes.
func (e *QuarantinedError) Error() string {
	kind := "quarantined"
	if e.Provisional {
		kind = "suspected"
	}
	return fmt.Sprintf("request %s is %s after crashing %d backend servers", FormatFingerprint(e.Fingerprint), kind, e.Crashes)
}
