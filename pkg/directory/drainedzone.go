package directory

import (
	"slices"
	"strings"
	"time"
)

// DrainedZone is an availability zone whose backend servers the operator has taken out of use.
type DrainedZone struct {
	Zone  string
	Since time.Time // when this instance learned of it
}

// coldAfter is how long a zone is drained before its servers are assumed to be cold at its return.
// When the operator takes an evacuation back at once, both changes can arrive together, and the
// servers have got requests until a moment ago.
const coldAfter = time.Second

// DrainZone takes the backend servers of a zone out of use: from now on no list has them, MayUse
// is false for them, and the channels of Leaves are closed. Requests in progress are not
// affected. It returns nil if the zone is drained already.
func (d *Directory) DrainZone(zone string) *ZoneChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, drained := d.drained[zone]; drained {
		return nil
	}
	d.drained[zone] = d.now()
	return &ZoneChange{Zone: zone, Drained: true, Servers: d.refreshZoneLocked(zone, false)}
}

// ReturnZone takes the backend servers of a drained zone into use again. It returns nil if the
// zone is not drained.
func (d *Directory) ReturnZone(zone string) *ZoneChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.returnZoneLocked(zone)
}

func (d *Directory) returnZoneLocked(zone string) *ZoneChange {
	since, drained := d.drained[zone]
	if !drained {
		return nil
	}
	delete(d.drained, zone)
	now := d.now()
	cold := now.Sub(since) >= coldAfter
	if cold {
		d.returned[zone] = now
	}
	return &ZoneChange{Zone: zone, Servers: d.refreshZoneLocked(zone, cold)}
}

// ReturnOtherZones returns all drained zones that a complete list does not have. The changes are
// sorted by zone.
func (d *Directory) ReturnOtherZones(listed []string) []ZoneChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []ZoneChange
	for zone := range d.drained {
		if !slices.Contains(listed, zone) {
			changes = append(changes, *d.returnZoneLocked(zone))
		}
	}
	slices.SortFunc(changes, func(a, b ZoneChange) int { return strings.Compare(a.Zone, b.Zone) })
	return changes
}

// DrainedZones returns the drained zones, sorted by name.
func (d *Directory) DrainedZones() []DrainedZone {
	d.mu.RLock()
	defer d.mu.RUnlock()
	zones := make([]DrainedZone, 0, len(d.drained))
	for zone, since := range d.drained {
		zones = append(zones, DrainedZone{Zone: zone, Since: since})
	}
	slices.SortFunc(zones, func(a, b DrainedZone) int { return strings.Compare(a.Zone, b.Zone) })
	return zones
}

func (d *Directory) isDrainedLocked(zone string) bool {
	_, drained := d.drained[zone]
	return drained
}

// refreshZoneLocked applies a change of whether a zone is drained to its servers and returns
// their number. Cold is set if the servers are assumed to be cold from now on.
func (d *Directory) refreshZoneLocked(zone string, cold bool) int {
	var servers []*Server
	for _, server := range d.byID {
		if server.Zone == zone {
			servers = append(servers, server)
		}
	}
	for _, server := range servers {
		next := *server
		next.ColdAssumed = cold || server.ColdAssumed
		d.replaceLocked(server, &next)
	}
	return len(servers)
}
