package entry

import "github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"

// event tells a query's goroutine about a frame from an owner, the end of an
// owner's stream, or the end of the delay before an unreachable canary is sent
// again.
type event struct {
	recheck  *attempt // the canary to send again; nil for the other kinds of event
	dispatch *dispatch
	frame    *peerpb.SearchFrame // nil at the end of the stream
	err      error               // why the stream ended; nil after the last frame
}
