package relay

import (
	"math/rand/v2"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/zonechoice"
)

// newServerTracker returns the observations of the backend servers, which also decide about
// the zone of an attempt as the settings state.
func (r *Instance) newServerTracker() *replicas.Tracker {
	s := r.options.Settings
	tracker := replicas.New(s.Instance.Zone, r.members, r.logServerChange)
	r.registry.Func("zone_round_trip_ms", func() any { return r.members.RoundTrips().Milliseconds() })
	if !s.ZoneTraffic.Adaptive {
		return tracker
	}
	tracker.DecideZonesBy(zonechoice.New(s.ZoneTraffic.CostPerKiB, rand.Float64, r.logZoneChange), r.members.RoundTrips())
	r.registry.Func("zone_share_sent_out", func() any { return tracker.Outgoing(time.Now()) })
	return tracker
}

// logZoneChange logs that requests begin to leave for another zone, and that all have
// returned.
func (r *Instance) logZoneChange(c zonechoice.Change) {
	if c.Leaves {
		r.logger.Info("requests begin to leave the zone", "to_zone", c.Zone, "service", c.Service, "share", c.Share)
		return
	}
	r.logger.Info("requests have returned to the zone", "from_zone", c.Zone, "lasted_ms", c.Lasted.Milliseconds())
}
