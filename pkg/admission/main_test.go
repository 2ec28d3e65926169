package admission

import (
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
)

// TestMain fixes the seed of the generators, so that every run checks the same
// cases.
func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 100}) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a settable clock.
type clock struct{ at time.Time }

func newClock() *clock { return &clock{at: epoch} }

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }
