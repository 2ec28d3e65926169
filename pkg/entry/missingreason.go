package entry

import (
	"strings"

	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// missingReason converts a result status to the form that callers read, for
// example INVALID_REPLY to invalid-reply.
func missingReason(status peerpb.ResultStatus) coverage.Reason {
	return coverage.Reason(strings.ToLower(strings.ReplaceAll(status.String(), "_", "-")))
}
