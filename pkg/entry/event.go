package entry

import "github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"

// event is a frame of an owner, the end of its stream, or the end of the wait
// before an unreachable canary is asked again.
type event struct {
	recheck  *attempt // the canary to ask again, nil for the other kinds
	dispatch *dispatch
	frame    *peerpb.SearchFrame // nil at the end of the stream
	err      error               // of the ended stream
}
