package bundle

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/finding"
)

func findingsOf(t *testing.T, err error) finding.List {
	t.Helper()
	var list finding.List
	assert.Assert(t, errors.As(err, &list), "%v", err)
	return list
}
