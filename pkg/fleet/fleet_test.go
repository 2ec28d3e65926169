package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Guards against a demonstration bundle that instances reject.
func TestBundleTextIsAccepted(t *testing.T) {
	for _, spec := range []standin.DeploymentSpec{standin.Office(), standin.AgendaSerena()} {
		text, err := BundleText(spec, 4)
		assert.NilError(t, err)
		parsed, err := bundle.Parse("bundle.yaml", text)
		assert.NilError(t, err)
		assert.Equal(t, parsed.Version, int64(4))
		assert.Equal(t, len(parsed.Teams[0].Services), len(spec.Services))
	}
}

// Guards against two runs with one seed that send different requests.
func TestWorkloadIsDeterministic(t *testing.T) {
	a, b := NewWorkload(standin.Office(), 5, "x"), NewWorkload(standin.Office(), 5, "x")
	submissions := 0
	for range 500 {
		request := a.Next()
		assert.DeepEqual(t, request, b.Next())
		if request.Submission() {
			submissions++
		}
	}
	assert.Assert(t, submissions > 0)
}
