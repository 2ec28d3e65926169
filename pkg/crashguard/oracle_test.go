package crashguard

import (
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// worldLoss is one outage as it really happened.
type worldLoss struct {
	server membership.BackendServer
	at     time.Time
	poison bool // the poison request was running
}

// worldOracle judges from the full history. Blamed counts, per innocent
// request, crashes that no correlated loss explains; it never falls, so that
// it may excuse a quarantine but never demand one.
type worldOracle struct {
	losses []worldLoss
	blamed map[uint64]int
}

func (o *worldOracle) lost(s membership.BackendServer, at time.Time, running []uint64) {
	ranPoison := slices.Contains(running, poison)
	o.losses = append(o.losses, worldLoss{server: s, at: at, poison: ranPoison})
	if !ranPoison {
		return
	}
	for _, fingerprint := range running {
		o.blamed[fingerprint]++
	}
}

// poisonCrashes counts the crashes by the poison request that coincide with no
// other loss in the zone that an owner may know of, at most one a second and zone, and their servers.
func (o *worldOracle) poisonCrashes() (crashes, servers int) {
	var counted []worldLoss
	ids := make(map[string]bool)
	for _, l := range o.losses {
		if !l.poison || o.coincides(l) {
			continue
		}
		repeated := slices.ContainsFunc(counted, func(other worldLoss) bool { return near(l, other, CorrelationWindow) })
		if !repeated {
			counted = append(counted, l)
			ids[l.server.ID] = true
		}
	}
	return len(counted), len(ids)
}

func (o *worldOracle) coincides(l worldLoss) bool {
	return slices.ContainsFunc(o.losses, func(other worldLoss) bool {
		return !other.poison && other.server.ID != l.server.ID && near(l, other, reportedWindow)
	})
}

func near(a, b worldLoss, window time.Duration) bool {
	return a.server.Zone == b.server.Zone && a.at.Sub(b.at).Abs() <= window
}
