package replicas

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

// Standing is how a candidate compares with others now, for explanations.
type Standing struct {
	Choice
	Usable   bool          // it can be chosen; otherwise the score means nothing
	Expected time.Duration // response time without the way to another zone
	Running  int           // attempts of this instance
	Reasons  []string      // what raises the score or excludes the server
}

// Standings evaluates candidates like Choose and changes no estimate that a choice depends on.
func (t *Tracker) Standings(candidates []*directory.Server, route string, now time.Time) []Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	standings := make([]Standing, 0, len(candidates))
	for _, candidate := range candidates {
		s := Standing{}
		s.Choice, s.Usable = t.evaluateLocked(candidate, route, now)
		s.Running = len(s.state.running)
		s.Expected = t.expectedLocked(&s.Choice, route, now)
		if t.zones != nil {
			t.addWayLocked(&s.Choice, route, t.zones.chooser.CostPerKiB())
		}
		s.Reasons = t.reasonsLocked(&s, now)
		standings = append(standings, s)
	}
	return standings
}

// reasonsLocked returns what raises the score of a candidate or excludes it.
func (t *Tracker) reasonsLocked(s *Standing, now time.Time) []string {
	var reasons []string
	cold, _ := t.coldness(s.Server, s.state.statedColdUntil, now)
	for _, reason := range []struct {
		applies bool
		text    string
	}{
		{!s.Usable && now.Before(s.state.pausedUntil), "asked for a pause"},
		{!s.Usable && !now.Before(s.state.pausedUntil), "another server answered at its address"},
		{s.Ejected, "ejected after failures"},
		{s.RateDelay > 0, "rate limit used up"},
		{s.AtLimit, "at its concurrency limit"},
		{s.Stalled, "stalled"},
		{cold, "cold"},
		{s.Server.Leaving(), "leaving"},
		{s.state.errorRate > 0.05, "refuses or fails attempts"},
		{s.state.slowness > 1.5, "slow"},
		{s.Server.Zone != t.zone, "in another zone"},
	} {
		if reason.applies {
			reasons = append(reasons, reason.text)
		}
	}
	return reasons
}

// ShareSentOut returns the share of a service's first attempts that leave this zone, and the
// zone that they leave for.
func (t *Tracker) ShareSentOut(service string) (share float64, zone string) {
	if t.zones == nil {
		return 0, ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zones.chooser.Share(service)
}
