package suspects

import "slices"

// recentLosses holds the latest lost runs of servers under any request, each with its first loss.
type recentLosses []Loss

func (r *recentLosses) record(loss Loss) {
	if slices.ContainsFunc(*r, func(known Loss) bool { return known.Server == loss.Server }) {
		return
	}
	if len(*r) >= maxRecentLosses {
		*r = slices.Delete(*r, 0, 1)
	}
	*r = append(*r, loss)
}

// explain reports whether another server, which did not run the suspect, was lost at about the
// same time as in a loss: both then have a cause that is not the request.
func (r recentLosses) explain(s *Suspect, loss Loss) bool {
	return slices.ContainsFunc(r, func(other Loss) bool {
		return other.Ended.Sub(loss.Ended).Abs() <= correlationTime && !s.hasLost(other.Server)
	})
}
