package entry

import "github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"

// event is a frame of an owner, or the end of its stream.
type event struct {
	dispatch *dispatch
	frame    *peerpb.SearchFrame // nil at the end of the stream
	err      error               // of the ended stream
}
