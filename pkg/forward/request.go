package forward

import (
	"net/http"
	"time"
)

// Request is one request of a caller.
type Request struct {
	ID       string // stated by the caller; each attempt has an id of its own
	Method   string
	Target   string // path and query as the caller sent them
	Host     string
	Header   http.Header // without hop-by-hop fields
	Body     []byte
	Arrived  time.Time
	Deadline time.Time // when the caller stops waiting; zero if the caller states none
	// NetworkTime is how much of the caller's time the network takes: before Arrived, and for
	// the way of the answer. It is 0 if it is unknown.
	NetworkTime time.Duration
}
