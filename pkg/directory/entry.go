package directory

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Entry is the platform's record of one backend server.
type Entry struct {
	Server   membership.BackendServer // Team, Shard, Replica and Rack are not set
	Capacity int                      // requests that the server runs concurrently
	Started  int64                    // start time of the process in Unix milliseconds; 0 is unknown
	Revision int64                    // of the entry in the platform's list; 0 is unknown
	WarmUp   time.Duration            // remaining time in which the server is slow after its start
	After    time.Time                // the platform has accepted the entry after this time; zero is unknown
}
