package owner

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that every run has the
// same result. The flags -rapid.seed and -rapid.checks try other cases.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
