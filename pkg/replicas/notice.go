package replicas

import "time"

// Notice is what a server states about itself in a reply. The zero value states nothing.
type Notice struct {
	// PauseFor is how long the server wants no requests from this instance.
	PauseFor time.Duration
	// RateLimit is the number of requests a second that the server accepts from all
	// instances together; 0 is no limit.
	RateLimit float64
	// ColdFor is how long the server is still slow after a start; 0 states nothing.
	ColdFor time.Duration
	Load    *Load // nil states nothing
	Leaving bool  // the server is about to end and wants no further requests
}
