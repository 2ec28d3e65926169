package entry

import (
	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// shardState is the progress of one shard within a query.
type shardState struct {
	partition snapshot.Partition
	replicas  []membership.BackendServer // in order of preference
	tried     map[string]bool            // backend server ids
	attempts  []*attempt                 // all of them
	running   int                        // attempts without a result
	done      bool                       // answered or failed
	hedged    bool
	canary    bool // was asked first for this query
	rechecked bool // the canary was unreachable and is asked again
	hits      []*peerpb.Hit
	lastError coverage.Reason
}
