package entry

import (
	"strings"

	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// reasonOf names a result's status as callers read it, for example
// invalid-reply.
func reasonOf(status peerpb.ResultStatus) coverage.Reason {
	return coverage.Reason(strings.ToLower(strings.ReplaceAll(status.String(), "_", "-")))
}
