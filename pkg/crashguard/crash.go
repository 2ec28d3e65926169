package crashguard

import "time"

// crash is one incriminating observation about a request.
type crash struct {
	serverID string
	zone     string
	rack     string // empty when unknown
	at       time.Time
}

// domain is the failure domain of the crashed server. A server of unknown rack
// is its own domain within its zone; losses of several such servers by one
// fault are recognised by their time.
func (c crash) domain() string {
	if c.rack == "" {
		return c.zone + "\x00\x00" + c.serverID
	}
	return c.zone + "\x00" + c.rack
}

// sameIncident reports whether two crashes may have one external cause.
func (c crash) sameIncident(other crash) bool {
	return c.zone == other.zone && within(c.at, other.at, CorrelationWindow)
}

func within(a, b time.Time, window time.Duration) bool {
	return a.Sub(b).Abs() <= window
}
