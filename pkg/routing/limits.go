package routing

import "time"

// Limits bound the size of a caller's requests and the time to receive them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its header
	IdleTimeout    time.Duration // between two requests of a connection
}
