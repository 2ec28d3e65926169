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

// ServerState is what the headers of a reply tell about the backend server.
type ServerState struct {
	Incarnation string
	Snapshots   []int64 // served now, as listed by the server
	Draining    bool
}

func parseServerState(h http.Header) ServerState {
	return ServerState{
		Incarnation: h.Get(HeaderIncarnation),
		Snapshots:   parseSnapshots(h.Get(HeaderSnapshots)),
		Draining:    h.Get(HeaderDraining) == "1",
	}
}

// parseSnapshots ignores entries that are not numbers: the list is a hint for
// later calls, and the reply itself is matched by its own snapshot field.
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
