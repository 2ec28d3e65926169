package forward

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

// Relays finds instances that can ask backend servers on behalf of this one. A relay in
// another availability zone saves messages between zones: one message serves all shards.
type Relays interface {
	// Pick returns an instance of the zone that accepts work, or nil.
	Pick(zone string) Relay
	// Stronger returns an instance of this zone with much more processor time than
	// this one, or nil.
	Stronger() Relay
}

// Relay is another instance that asks backend servers on behalf of this one.
type Relay interface {
	ID() string
	// Gather asks the instance for parts. It calls accepted when the instance has accepted
	// the call, then receive for each result. The last result is final unless Gather
	// returns an error. A *CallError with Sent unset means that the call was not sent.
	Gather(ctx context.Context, call *PartsCall, accepted func(), receive func(*PartsResult)) error
	// Stronger reports whether the instance has much more processor time than this one.
	Stronger() bool
	// Answers reports whether the instance has answered the latest call of this one.
	Answers() bool
	// Failed records that the instance did not accept a call in time.
	Failed()
}

// PartsCall asks a relay for the parts of some shards of an answer.
type PartsCall struct {
	Request         *Request
	Route           string
	Services        []string // one per shard
	MaxConnections  []int    // connections that a server of the service at the same index accepts
	Zones           []string // zones whose servers may be asked; empty means all
	Top             int
	MaxAttempts     int // per shard
	Priority        int
	MaxMissingShare float64       // share of all shards that the answer may lack, 0 to 1
	Target          time.Duration // of the route
	Cutoff          time.Time     // when the answer goes out if enough parts have arrived
	Deadline        time.Time     // end of the request
	HedgeAfter      time.Duration // no hedge before this: the sender may still give up the relay
	ChargedBySender bool          // every attempt is an extra one, charged to the sender's budget
	Merge           bool          // merge the parts into one body
	// SameZone is set when the sender is in the relay's zone. The relay then decides which
	// first attempts leave the zone; a sender in another zone has decided that itself.
	SameZone bool
}

// PartsResult holds the parts that have arrived since the previous result.
type PartsResult struct {
	Final bool // no further result follows
	Parts []Part
	Body  []byte     // the greatest records of all parts, if they are merged
	Lost  []LostPart // only in the final result
	// Suspect is set in the final result if the relay suspects the request of crashing
	// servers.
	Suspect *suspects.Suspect
	// Events are for the log of the instance that gathers; they are not sent.
	Events   []AttemptEvent
	Attempts int
	Hedges   int
	Retries  int
}

// Part is one shard's part of an answer.
type Part struct {
	Index int // in PartsCall.Services
	Proof string
	Body  []byte // the greatest records, if the parts are not merged
}

// LostPart describes a shard for which the relay has no part.
type LostPart struct {
	Index          int
	Arrivals       int // attempts that may have reached a backend server
	MayRun         bool
	ExpiredServers []string // ids of servers that stopped work at the cutoff as told and may be asked again
	Event          string
}
