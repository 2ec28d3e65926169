package ticket

import "github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"

// Result is the outcome of a submission.
type Result struct {
	Run     peerpb.RunState
	Status  peerpb.ResultStatus
	Payload []byte // the backend server's reply
	Detail  string
	// PayloadDropped is true when the payload was dropped to bound the memory.
	PayloadDropped bool
}
