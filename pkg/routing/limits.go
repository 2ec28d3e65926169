package routing

import "time"

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its header
	IdleTimeout    time.Duration // between two requests of a connection
}
