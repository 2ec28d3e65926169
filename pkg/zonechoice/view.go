package zonechoice

import "time"

// Zone describes the best server of a service in one availability zone, as this instance
// observes it.
type Zone struct {
	Name string
	// Expected is the response time without the way between zones.
	Expected time.Duration
	// RoundTrip is the least measured round trip to the zone, if RoundTripKnown is set.
	RoundTrip      time.Duration
	RoundTripKnown bool
	// Paused is set when the best server does not work for a moment, though it is not
	// overloaded.
	Paused bool
	// Waits is set when the best server accepts a request only after a pause.
	Waits bool
	// Queued is set when this instance's own attempts fill the best server, so that another
	// one waits.
	Queued bool
	// Full is set when the best server has no free capacity.
	Full bool
}

// View is what a decision about one request at one service is based on.
type View struct {
	Service string
	Usable  bool // Here describes a server that can be asked
	Here    Zone
	Others  []Zone        // zones with a server that can be asked, in an order that does not vary
	Usual   time.Duration // response time of an idle server of the route
	Bytes   float64       // of one exchange with a server; 0 is unknown
	// Draw is the request's value of a Sequence, 0 to 1. A request with 1 leaves only while
	// this zone has no server that can be asked at once.
	Draw float64
}
