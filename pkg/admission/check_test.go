package admission

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the generators, so that every run checks the same.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a settable clock.
type clock struct{ at time.Time }

func newClock() *clock { return &clock{at: epoch} }

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func equal[T comparable](t rapid.TB, name string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", name, got, want)
	}
}
