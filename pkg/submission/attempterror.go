package submission

import (
	"fmt"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// AttemptError is the failure of one attempt on one backend server. Run states
// whether the server ran the submission; only RUN_STATE_NOT_RUN permits an
// attempt on another server.
type AttemptError struct {
	Status peerpb.ResultStatus
	Run    peerpb.RunState
	Detail string
}

// Error returns the status, the run state and the detail.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("submission attempt: %s, %s: %s", e.Status, e.Run, e.Detail)
}
