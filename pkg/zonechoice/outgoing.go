package zonechoice

import "time"

// outgoingWindow is the time over which the share sent out is counted.
const outgoingWindow = 10 * time.Second

// Outgoing counts first attempts by the zone that they are sent to. It is not safe for
// concurrent use.
type Outgoing struct {
	began            time.Time // of the current window
	total, lastTotal int
	zones, lastZones map[string]int
}

// Record counts a first attempt; zone is "" for this zone.
func (o *Outgoing) Record(zone string, now time.Time) {
	o.turn(now)
	o.total++
	if zone != "" {
		if o.zones == nil {
			o.zones = make(map[string]int)
		}
		o.zones[zone]++
	}
}

// Shares returns the share of first attempts sent to each other zone within the last one
// to two windows.
func (o *Outgoing) Shares(now time.Time) map[string]float64 {
	o.turn(now)
	shares := make(map[string]float64)
	total := float64(max(o.total+o.lastTotal, 1))
	for _, counts := range []map[string]int{o.zones, o.lastZones} {
		for zone, count := range counts {
			shares[zone] += float64(count) / total
		}
	}
	return shares
}

func (o *Outgoing) turn(now time.Time) {
	switch passed := now.Sub(o.began); {
	case passed < outgoingWindow:
	case passed < 2*outgoingWindow:
		*o = Outgoing{began: o.began.Add(outgoingWindow), lastTotal: o.total, lastZones: o.zones}
	default:
		*o = Outgoing{began: now}
	}
}
