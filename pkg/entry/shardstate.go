package entry

import (
	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// shardState is the progress of one shard within a query.
type shardState struct {
	partition    snapshot.Partition
	replicas     []membership.BackendServer // in the order in which they are tried
	tried        map[string]bool            // by backend server id
	attempts     []*attempt                 // finished ones as well
	pending      int                        // attempts without a result
	done         bool                       // the shard has answered or failed
	hedged       bool
	usedAsCanary bool // the canary of this query was sent to the shard
	rechecked    bool // the canary was unreachable and is sent again, at most once
	hits         []*peerpb.Hit
	lastFailure  coverage.Reason
}
