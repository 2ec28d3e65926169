package routing

import "time"

// Route is one entry of a table. Exactly one of Choices and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string // of the path; begins and ends with a slash

	Repeatable  bool          // more than one backend server may run a request
	Timeout     time.Duration // longest time that a caller is kept waiting; 0 is none
	Target      time.Duration // an answer within this time is worth most; 0 is none
	Priority    int           // 0 comes first
	MaxAttempts int           // backend servers per request, per shard for a sharded route

	Choices []Choice // services that requests are distributed among by weight

	Shards   []string // services, one per shard; each request is sent to all
	Top      int      // records in an answer
	MinShare float64  // least share of the shards in an answer, 0 to 1
}

// Choice is one of the services of a route.
type Choice struct {
	Service string
	Weight  int
}

// Sharded reports whether a request is sent to all shards and the replies are
// merged.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// minShareTolerance absorbs the error of a share such as 0.89 in binary.
const minShareTolerance = 1e-9

// RequiredShards is the least number of shards in an answer, at least 1.
func (r *Route) RequiredShards() int {
	exact := r.MinShare * float64(len(r.Shards))
	required := int(exact)
	if exact-float64(required) > minShareTolerance {
		required++
	}
	return min(max(required, 1), len(r.Shards))
}
