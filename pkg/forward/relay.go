package forward

import (
	"context"
	"time"
)

// Relays finds instances in other availability zones that ask the backend
// servers there. One message between zones then stands for those of all shards.
type Relays interface {
	// Pick returns an instance of the zone that can be given work, or nil.
	Pick(zone string) Relay
	// Stronger returns an instance of this zone with much more processor time than
	// this one, or nil.
	Stronger() Relay
}

// Relay is another instance.
type Relay interface {
	ID() string
	// Gather asks the instance for parts. Accepted is called when it is known to
	// work on them, then receive for each result; the last one is final unless there
	// is an error. A *CallError with Sent unset tells that the call was not sent.
	Gather(ctx context.Context, call *PartsCall, accepted func(), receive func(*PartsResult)) error
	// Failed records that the instance did not accept in time.
	Failed()
}

// PartsCall asks for the parts of some shards of an answer.
type PartsCall struct {
	Request        *Request
	Route          string
	Services       []string // one per shard
	MaxConnections []int    // that a server of the service at the same index accepts
	Top            int
	MaxAttempts    int // per shard
	Priority       int
	Missable       float64       // share of all shards, 0 to 1, that the answer may lack
	Target         time.Duration // of the route
	Cutoff         time.Time     // when the answer goes out if enough parts are there
	Deadline       time.Time     // end of the request
	HedgeAfter     time.Duration // earliest hedge: before it the sender may still give the relay up
	Extra          bool          // every attempt is beyond the first and paid for
	Merge          bool          // one body for all parts
}

// PartsResult holds the parts that have come since the result before.
type PartsResult struct {
	Final bool // nothing follows
	Parts []Part
	Body  []byte     // greatest records of all parts, when merged
	Lost  []LostPart // only in the final result
	// Troubles are for the receiver's log; they are not sent.
	Troubles []Trouble
	Attempts int
	Hedges   int
	Retries  int
}

// Part is one shard's.
type Part struct {
	Index int // in Services
	Proof string
	Body  []byte // greatest records, when not merged
}

// LostPart is a shard without a part.
type LostPart struct {
	Index    int
	Arrivals int // requests that may have reached a backend server
	MayRun   bool
	Again    []string // ids of servers that were told to stop and may be asked again
	Event    string
}
