package zonechoice

import "time"

// Change tells that requests begin to leave for another zone, or that all have returned.
type Change struct {
	Zone    string // that they leave for
	Leaves  bool
	Service string        // the first one that leaves
	Share   float64       // of its requests
	Lasted  time.Duration // from the begin to the return
}

// reportPause is the shortest time between two reports that requests begin to leave for
// the same zone. It bounds the log.
const reportPause = 10 * time.Second

// reporter reports one change for all services that leave for a zone at the same time.
type reporter struct {
	onChange func(Change)
	zones    map[string]*zoneReport
}

type zoneReport struct {
	services int // with a share that leaves for the zone
	reported bool
	at       time.Time // of the last report that requests begin to leave
}

func (r *reporter) began(zone, service string, share float64, now time.Time) {
	z := r.zones[zone]
	if z == nil {
		z = &zoneReport{}
		r.zones[zone] = z
	}
	z.services++
	if z.reported || !z.at.IsZero() && now.Sub(z.at) < reportPause {
		return
	}
	z.reported, z.at = true, now
	r.onChange(Change{Zone: zone, Leaves: true, Service: service, Share: share})
}

func (r *reporter) returned(zone string, now time.Time) {
	z := r.zones[zone]
	if z == nil {
		return
	}
	z.services--
	if z.services > 0 || !z.reported {
		return
	}
	z.reported = false
	r.onChange(Change{Zone: zone, Lasted: now.Sub(z.at)})
}
