package entry

import (
	"testing"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"gotest.tools/v3/assert"
)

// Guards against refusals whose parts run into each other in the command-line
// tool and in spans.
func TestRefusalText(t *testing.T) {
	assert.Equal(t, invalid(400, "body is empty").Error(), "refused (not-run): invalid: body is empty")
	assert.Equal(t, shortage(Unknown, ShortageCoverage, "").Error(), "refused (unknown): shortage coverage")
	rule := byRule(policyWith(), &bundle.Rule{Name: "clerk-rate"}, NotRun, "too many")
	assert.Equal(t, rule.Error(), "refused (not-run): rule clerk-rate: too many")
}

// Guards against names of Go constants in answers.
func TestMissingReasonStyle(t *testing.T) {
	assert.Equal(t, reasonOf(peerpb.ResultStatus_CRASHED), coverage.ReasonCrashed)
	assert.Equal(t, reasonOf(peerpb.ResultStatus_SNAPSHOT_GONE), coverage.ReasonSnapshotGone)
	assert.Equal(t, reasonOf(peerpb.ResultStatus_INVALID_REPLY), coverage.Reason("invalid-reply"))
}
