package crashguard

import "time"

// Report states that a request was in flight on a backend server when the
// server crashed. Reports are sent to other instances.
type Report struct {
	Fingerprint uint64
	ServerID    string
	Zone        string
	Observed    time.Time
}
