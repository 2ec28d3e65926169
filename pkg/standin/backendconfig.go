package standin

import "github.com/sycamorelift/sycamorelift/pkg/membership"

// BackendConfig describes one simulated backend server.
type BackendConfig struct {
	Member    membership.BackendServer // Address is the listen address; "" takes a free port
	Service   ServiceSpec
	Data      *Dataset
	Snapshots []int64     // served at start
	Delays    *ZoneDelays // nil is no delay
	Runs      *RunLog     // nil takes a private one
	Seed      uint64      // of the service times
}
