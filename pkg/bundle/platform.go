package bundle

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Platform is the platform's section: bounds that every team's section keeps.
type Platform struct {
	MaxDeadline    time.Duration // of any request
	MaxHedgeBudget float64       // extra attempts per attempt
	MaxCrashLimit  int           // backend servers that one request may crash
}

// Widest bounds that a platform section may state.
const (
	longestDeadline   = 5 * time.Minute
	shortestDeadline  = time.Millisecond
	largestHedge      = 1.0
	largestCrashLimit = 16
)

// defaultPlatform holds the widest bounds. They stand in for a platform section
// that can't be read, so that it doesn't cause findings in the teams' sections.
func defaultPlatform() Platform {
	return Platform{MaxDeadline: longestDeadline, MaxHedgeBudget: largestHedge, MaxCrashLimit: largestCrashLimit}
}

func parsePlatform(v yamldoc.Value) Platform {
	p := defaultPlatform()
	o := v.Object()
	o.Required("max_deadline").Duration(&p.MaxDeadline, yamldoc.Range[time.Duration]{Min: shortestDeadline, Max: longestDeadline})
	o.Required("max_hedge_budget").Float(&p.MaxHedgeBudget, yamldoc.Range[float64]{Max: largestHedge})
	o.Required("max_crash_limit").Int(&p.MaxCrashLimit, yamldoc.Range[int]{Min: 1, Max: largestCrashLimit})
	o.Close()
	return p
}
