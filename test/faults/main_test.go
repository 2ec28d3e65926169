// Package faults fuzzes the whole system: rapid draws sequences of faults over
// one fleet of real instances, and after every step the oracle must find every
// invariant kept.
package faults

import (
	"flag"
	"testing"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
)

// TestMain fixes the seed. A failing sequence is not shrunk by default, as one
// run of it takes seconds; -rapid.shrinktime does it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.shrinktime", "0s"); err != nil {
		panic(err)
	}
	rapidmain.Run(m, rapidmain.Options{Checks: 2})
}
