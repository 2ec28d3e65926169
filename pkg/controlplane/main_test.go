package controlplane

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of all state machines, so that the verdict is the same
// in every run. The number of sequences can be raised with -rapid.checks.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
