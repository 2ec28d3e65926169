package entry

import (
	"testing"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
)

// TestMain fixes the seed of the properties, so that the verdict is the same in
// every run. The flags -rapid.seed and -rapid.checks search further.
func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 100}) }
