package directory

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Entry is what the platform lists of one backend server.
type Entry struct {
	Server   membership.BackendServer // Team, Shard, Replica and Rack are not set
	Capacity int                      // requests that it runs at once
	Started  int64                    // start of its process, Unix milliseconds; 0 is unknown
	WarmUp   time.Duration            // how much longer it is slow after its start
}
