package controlplane

import (
	"testing"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
)

// TestMain fixes the seed of the rapid state machine tests, so that every run has
// the same result. The flags -rapid.seed and -rapid.checks test other or more
// cases.
func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 200}) }
