package backend

import (
	"net/http"
	"strconv"
	"strings"
)

// Header names of the backend protocol.
const (
	HeaderRequest     = "Sycamorelift-Request"
	HeaderAttempt     = "Sycamorelift-Attempt"
	HeaderShard       = "Sycamorelift-Shard"
	HeaderSnapshot    = "Sycamorelift-Snapshot"
	HeaderTimeout     = "Sycamorelift-Timeout-Ms"
	HeaderOperation   = "Sycamorelift-Operation"
	HeaderZone        = "Sycamorelift-Zone"
	HeaderIncarnation = "Sycamorelift-Incarnation"
	HeaderSnapshots   = "Sycamorelift-Snapshots"
	HeaderDraining    = "Sycamorelift-Draining"
)

// ServerState is what the headers of a reply state about the backend server.
type ServerState struct {
	Incarnation string
	Snapshots   []int64 // snapshots that the server serves now
	Draining    bool
}

func parseServerState(h http.Header) ServerState {
	return ServerState{
		Incarnation: h.Get(HeaderIncarnation),
		Snapshots:   parseSnapshots(h.Get(HeaderSnapshots)),
		Draining:    h.Get(HeaderDraining) == "1",
	}
}

// parseSnapshots parses a comma-separated list and ignores entries that are not
// numbers: the list is only a hint for later calls, and the reply itself is
// checked by the snapshot field in its body.
func parseSnapshots(list string) []int64 {
	var out []int64
	for field := range strings.SplitSeq(list, ",") {
		n, err := strconv.ParseInt(strings.TrimSpace(field), 10, 64)
		if err == nil {
			out = append(out, n)
		}
	}
	return out
}
