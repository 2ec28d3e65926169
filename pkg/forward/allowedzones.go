package forward

import (
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// allowedZones returns the zones whose servers may get requests of a route, or nil for all. A
// zone whose region the settings do not name is allowed on no route with allowed regions.
// Without any regions in the settings nothing is restricted.
func (e *Engine) allowedZones(route *routing.Route) []string {
	if len(route.AllowedRegions) == 0 || len(e.regions) == 0 {
		return nil
	}
	zones := []string{}
	for zone, region := range e.regions {
		if slices.Contains(route.AllowedRegions, region) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// restrictTo limits a request to the servers of some zones. Without zones it is not limited.
func (r *activeRequest) restrictTo(zones []string) {
	if len(zones) == 0 {
		return
	}
	r.allowedZones = zones
	for _, s := range r.shardRequests {
		s.servers = r.inAllowedZones(s.servers)
	}
}

// usableServers returns the servers of a service that the request may use now.
func (r *activeRequest) usableServers(service string) []*directory.Server {
	return r.inAllowedZones(r.engine.directory.Servers(service))
}

// lastResort returns the leaving servers of a service that the request may use now.
func (r *activeRequest) lastResort(service string) []*directory.Server {
	return r.inAllowedZones(r.engine.directory.LastResort(service))
}

// mayUse reports whether the request may be sent to a server that was chosen earlier.
func (r *activeRequest) mayUse(server *directory.Server) bool {
	return r.engine.directory.MayUse(server) && r.isAllowed(server)
}

func (r *activeRequest) isAllowed(server *directory.Server) bool {
	return r.allowedZones == nil || slices.Contains(r.allowedZones, server.Zone)
}

func (r *activeRequest) inAllowedZones(servers []*directory.Server) []*directory.Server {
	if r.allowedZones == nil {
		return servers
	}
	var allowed []*directory.Server
	for _, server := range servers {
		if r.isAllowed(server) {
			allowed = append(allowed, server)
		}
	}
	return allowed
}
