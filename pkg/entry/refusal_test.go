package entry

import (
	"testing"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"gotest.tools/v3/assert"
)

// Guards against refusal texts whose parts run into each other where the
// command-line tool and spans show them.
func TestRefusalText(t *testing.T) {
	assert.Equal(t, invalidRefusal(400, "body is empty").Error(), "refused (not-run): invalid: body is empty")
	assert.Equal(t, shortageRefusal(RunUnknown, ShortageCoverage, "").Error(), "refused (unknown): shortage coverage")
	rule := ruleRefusal(policyWith(), &bundle.Rule{Name: "clerk-rate"}, NotRun, "too many")
	assert.Equal(t, rule.Error(), "refused (not-run): rule clerk-rate: too many")
}

// Guards against missing reasons in answers that are spelled like protobuf
// constants.
func TestMissingReasonStyle(t *testing.T) {
	assert.Equal(t, missingReason(peerpb.ResultStatus_CRASHED), coverage.ReasonCrashed)
	assert.Equal(t, missingReason(peerpb.ResultStatus_SNAPSHOT_GONE), coverage.ReasonSnapshotGone)
	assert.Equal(t, missingReason(peerpb.ResultStatus_INVALID_REPLY), coverage.Reason("invalid-reply"))
}
