package crashguard

import (
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// actualLoss is the loss of a server as it really happened.
type actualLoss struct {
	server            membership.BackendServer
	at                time.Time
	byCrashingRequest bool // the crashing request was running
}

// crashOracle knows the full history of losses.
type crashOracle struct {
	losses []actualLoss
	// unexplained counts, per harmless request, the crashes that no correlated loss
	// explains. It never decreases, so it may permit a quarantine of the request but
	// never requires one.
	unexplained map[uint64]int
}

func (o *crashOracle) recordLoss(s membership.BackendServer, at time.Time, running []uint64) {
	ranCrashing := slices.Contains(running, crashingRequest)
	o.losses = append(o.losses, actualLoss{server: s, at: at, byCrashingRequest: ranCrashing})
	if !ranCrashing {
		return
	}
	for _, fingerprint := range running {
		o.unexplained[fingerprint]++
	}
}

// independentCrashes counts the crashes caused by the crashing request, at most one
// per zone and second, and the servers that they concern. It leaves out crashes
// that coincide with another loss in the zone that an owner may know of.
func (o *crashOracle) independentCrashes() (crashes, servers int) {
	var counted []actualLoss
	ids := make(map[string]bool)
	for _, l := range o.losses {
		if !l.byCrashingRequest || o.coincidesWithOtherLoss(l) {
			continue
		}
		repeated := slices.ContainsFunc(counted, func(other actualLoss) bool { return sameZoneWithin(l, other, CorrelationWindow) })
		if !repeated {
			counted = append(counted, l)
			ids[l.server.ID] = true
		}
	}
	return len(counted), len(ids)
}

func (o *crashOracle) coincidesWithOtherLoss(l actualLoss) bool {
	return slices.ContainsFunc(o.losses, func(other actualLoss) bool {
		return !other.byCrashingRequest && other.server.ID != l.server.ID && sameZoneWithin(l, other, reportedCorrelationWindow)
	})
}

func sameZoneWithin(a, b actualLoss, window time.Duration) bool {
	return a.server.Zone == b.server.Zone && a.at.Sub(b.at).Abs() <= window
}
