package replicas

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

// WarmUp states how servers of a service behave after a cold start. The zero value states
// nothing.
type WarmUp struct {
	// Time is how long a server is cold after its start.
	Time time.Duration
	// Rate is the number of requests a second at a cold server that the instances divide among
	// them; 0 is no limit.
	Rate float64
}

// warmUp returns what is stated of a service.
func (t *Tracker) warmUp(service string) WarmUp {
	if t.WarmUps == nil {
		return WarmUp{}
	}
	return t.WarmUps(service)
}

// coldness reports whether a server is cold: as its entry or its replies say or, until an entry
// says more, for its service's warm-up time after the return of its zone. Rate is what the
// instances share while it is, 0 for no limit.
func (t *Tracker) coldness(candidate *directory.Server, stated, now time.Time) (cold bool, rate float64) {
	cold = now.Before(candidate.WarmAt) || now.Before(stated)
	if !cold && !candidate.ColdAssumed {
		return false, 0 // most servers at most times; the table is not asked
	}
	warmUp := t.warmUp(candidate.Service)
	if !cold && !now.Before(candidate.ReturnedAt.Add(warmUp.Time)) {
		return false, 0
	}
	return true, warmUp.Rate
}

// maxSharing is by how much the requests of all instances in one second may exceed the rate that
// they share (peering.Members.RateShare). Other zones share a fifth on top, and instances without
// a share of their own a twentieth. After idle time each sharer may send one request, and there
// is at most one sharer for each 1.25 requests a second. While a third of the members is unknown
// to the others, these share as if it sent nothing.
const maxSharing = 1.2 * (1 + 0.05 + 1/1.25) * 1.5

// ColdRate returns the rate to share among the instances for a bound of perSecond x overage +
// slack requests in any second; 0 for no limit.
func ColdRate(perSecond, overage, slack float64) float64 {
	if perSecond <= 0 {
		return 0
	}
	return (perSecond*overage + slack) / maxSharing
}
