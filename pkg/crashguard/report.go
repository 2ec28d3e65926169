package crashguard

import "time"

// Report states that a request was in flight on a backend server when the
// server crashed, or that the request has succeeded. Reports are sent to other
// instances. Fingerprint 0 states that a server was lost without a request that
// may have caused it; other instances need it to recognise a correlated loss.
type Report struct {
	Fingerprint uint64
	ServerID    string
	Zone        string
	Observed    time.Time // time of the crash or of the success
	// Succeeded states that the request, which is suspected of the server's crash,
	// has succeeded at this instance.
	Succeeded bool
}
