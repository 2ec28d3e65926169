package feed

import (
	"testing"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
)

func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 300, Steps: 40}) }
