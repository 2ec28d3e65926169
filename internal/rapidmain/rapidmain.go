// Package rapidmain runs tests that fuzz with rapid under fixed seeds, so that
// every run has the same verdict, and gives them a -long flag for more cases.
package rapidmain

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// longFactor is how many times more cases -long draws.
const longFactor = 50

// Options are the defaults of one package. A flag on the command line, for
// example -rapid.seed, takes precedence.
type Options struct {
	Checks int // cases per test
	Steps  int // mean number of steps of a state machine; 0 is rapid's default
}

// Run runs the tests of a package and ends the process.
func Run(m *testing.M, options Options) {
	long := flag.Bool("long", false, "draw "+strconv.Itoa(longFactor)+" times more cases with rapid")
	flag.Parse()
	checks := options.Checks
	if *long {
		checks *= longFactor
	}
	defaults := map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.nofailfile": "true", // a stored failure would change the verdict of later runs
	}
	if options.Steps > 0 {
		defaults["rapid.steps"] = strconv.Itoa(options.Steps)
	}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
