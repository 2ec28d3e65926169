package replicas

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

// ReturnShare returns the share of the choices that may fall on servers of a zone, 0 to 1. It
// rises evenly over the time in which the servers are cold after the return of the zone.
func ReturnShare(sinceReturn, warmUp time.Duration) float64 {
	if sinceReturn >= warmUp {
		return 1
	}
	return max(float64(sinceReturn)/float64(warmUp), 0)
}

// WithoutReturning returns the candidates without those whose zone has returned so recently that
// a choice with this draw, a random number from 0 to 1, does not fall on them. Each choice has
// its own draw, so that the instances need not agree on who sends. The slice is not modified.
func (t *Tracker) WithoutReturning(candidates []*directory.Server, draw float64, now time.Time) []*directory.Server {
	var out []*directory.Server
	filtered := false
	for i, c := range candidates {
		if !c.ReturnedAt.IsZero() && draw >= ReturnShare(now.Sub(c.ReturnedAt), t.warmUp(c.Service).Time) {
			if !filtered {
				filtered = true
				out = append(out, candidates[:i]...)
			}
			continue
		}
		if filtered {
			out = append(out, c)
		}
	}
	if !filtered {
		return candidates
	}
	return out
}
