package settings

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
	"github.com/sycamorelift/sycamorelift/pkg/zonechoice"
)

// ZoneTraffic states when requests leave their availability zone.
type ZoneTraffic struct {
	// Adaptive compares the expected response times of the zones. Otherwise a fixed factor
	// decides for each attempt.
	Adaptive bool
	// CostPerKiB is the response time that is accepted for saving one KiB between zones.
	CostPerKiB time.Duration
}

func defaultZoneTraffic() ZoneTraffic {
	return ZoneTraffic{CostPerKiB: zonechoice.DefaultCostPerKiB}
}

func (z *ZoneTraffic) read(v yamldoc.Value) {
	o := v.Object()
	o.Optional("adaptive").Bool(&z.Adaptive)
	o.Optional("cost_per_kib").Duration(&z.CostPerKiB, durations(0, 10*time.Second))
	o.Close()
}
