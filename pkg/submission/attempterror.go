package submission

import (
	"fmt"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// AttemptError is the failure of one attempt on one backend server. Run is what
// is known about the submission: only RUN_STATE_NOT_RUN permits another attempt.
type AttemptError struct {
	Status peerpb.ResultStatus
	Run    peerpb.RunState
	Detail string
}

// Error names status, run state and detail.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("submission attempt: %s, %s: %s", e.Status, e.Run, e.Detail)
}
