package crashguard

import "time"

// crash is the crash of a backend server while a request was in flight on it.
type crash struct {
	serverID string
	zone     string
	rack     string // empty when unknown
	at       time.Time
}

// failureDomain returns the rack of the crashed server, qualified by its zone. A
// server whose rack is unknown is a failure domain of its own; if one fault takes
// down several such servers, sameIncident recognises it by the time.
func (c crash) failureDomain() string {
	if c.rack == "" {
		return c.zone + "\x00\x00" + c.serverID
	}
	return c.zone + "\x00" + c.rack
}

// sameIncident reports whether two crashes may have one external cause, such as
// the loss of a rack.
func (c crash) sameIncident(other crash) bool {
	return c.zone == other.zone && within(c.at, other.at, CorrelationWindow)
}

func within(a, b time.Time, window time.Duration) bool {
	return a.Sub(b).Abs() <= window
}
