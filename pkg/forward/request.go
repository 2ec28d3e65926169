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
}
