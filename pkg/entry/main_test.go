package entry

import (
	"testing"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
)

// TestMain fixes the seed of the rapid tests, so that every run checks the same
// cases. The flags -rapid.seed and -rapid.checks select other or more cases.
func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 100}) }
