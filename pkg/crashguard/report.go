package crashguard

import "time"

// Report tells other instances one of three facts: a request was in flight on a
// backend server when the server crashed; a suspected request has succeeded; or,
// with Fingerprint 0, a server was lost while no request that may have caused it
// was running. Other instances need the last one to recognise correlated losses.
type Report struct {
	Fingerprint uint64
	ServerID    string
	Zone        string
	Observed    time.Time // time of the crash, the loss or the success
	// Succeeded means that the request has succeeded at this instance. ServerID
	// and Zone then name a server that it is suspected of having crashed.
	Succeeded bool
}
