package forward

import (
	"net/http"
	"time"
)

// Request is one request of a caller.
type Request struct {
	ID       string // stated by the caller; each of its attempts has its own
	Method   string
	Target   string // path and query as the caller sent them
	Host     string
	Header   http.Header // without the fields that concern only one connection
	Body     []byte
	Arrived  time.Time
	Deadline time.Time // after it the caller no longer waits; zero is not stated
}
