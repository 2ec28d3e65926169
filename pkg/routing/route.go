package routing

import "time"

// Route is one entry of a routing table. Exactly one of WeightedServices and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string // path prefix that begins and ends with a slash

	Repeatable    bool          // a request may run on more than one backend server, so hedges and retries are allowed
	Timeout       time.Duration // longest time until a caller gets an answer; 0 is none
	TargetLatency time.Duration // later answers are worth less to the caller; 0 is none
	Priority      int           // 0 is the highest
	MaxAttempts   int           // most backend servers that a request may reach, for a sharded route per shard

	// AllowedRegions are the regions whose backend servers may get a request; empty means all.
	AllowedRegions []string

	WeightedServices []WeightedService // services among which requests are distributed by weight

	Shards        []string // one service per shard; each request is sent to all of them
	TopK          int      // most records in a merged answer
	MinShardShare float64  // share of the shards that an answer needs, 0 to 1
}

// WeightedService is a service with its share of the requests of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Sharded reports whether a request is sent to all shards and the replies are
// merged.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// minShareTolerance absorbs floating-point errors: a share such as 0.89 has no exact binary
// representation.
const minShareTolerance = 1e-9

// RequiredShards returns the number of shards that an answer needs, at least 1.
func (r *Route) RequiredShards() int {
	exact := r.MinShardShare * float64(len(r.Shards))
	required := int(exact)
	if exact-float64(required) > minShareTolerance {
		required++
	}
	return min(max(required, 1), len(r.Shards))
}
