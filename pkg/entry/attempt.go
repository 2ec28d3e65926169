package entry

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// attempt is one execution of the query for one shard on one backend server.
type attempt struct {
	number   int32
	shard    *shardState
	server   membership.BackendServer
	dispatch *dispatch
	started  time.Time
	finished bool
	isHedge  bool
}
