package owner

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the properties, so that the verdict is the same in
// every run. The flags -rapid.seed and -rapid.checks search further.
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
