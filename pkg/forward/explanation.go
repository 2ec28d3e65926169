package forward

import (
	"fmt"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// Explanation tells where a request would go now, and why. Nothing is sent for it.
type Explanation struct {
	Instance string               `json:"instance"`
	Zone     string               `json:"zone"`
	Table    int64                `json:"table_version"`
	Route    string               `json:"route,omitempty"`
	Sharded  bool                 `json:"sharded"`
	Required int                  `json:"required_shards,omitempty"` // that an answer needs
	Refused  string               `json:"refused,omitempty"`         // reason, if the request would be refused
	Detail   string               `json:"detail,omitempty"`          // of the refusal
	Services []ServiceExplanation `json:"services,omitempty"`
}

// ServiceExplanation tells which server of a service a request would go to.
type ServiceExplanation struct {
	Service   string                 `json:"service"`
	Weight    int                    `json:"weight,omitempty"` // of a route that is not sharded
	Server    string                 `json:"server,omitempty"` // for a request that stays in the zone; empty if there is none
	Relay     string                 `json:"relay,omitempty"`  // instance that would ask the server
	ShareOut  float64                `json:"share_sent_out"`   // share of the requests that leave the zone
	LeaveFor  string                 `json:"leave_for,omitempty"`
	Available bool                   `json:"available"` // a server is expected to answer
	Servers   []CandidateExplanation `json:"servers"`
}

// CandidateExplanation tells how one server compares with the others.
type CandidateExplanation struct {
	Server     string   `json:"server"`
	Zone       string   `json:"zone"`
	Usable     bool     `json:"usable"`
	Score      float64  `json:"score"` // lower is better; 1 is an idle server of this zone
	ExpectedMs float64  `json:"expected_ms"`
	Running    int      `json:"running"`
	Reasons    []string `json:"reasons,omitempty"`
}

// ExplainRoute explains a request on a route of the table. Route is nil if none matches.
func (e *Engine) ExplainRoute(table *routing.Table, route *routing.Route, now time.Time) *Explanation {
	x := &Explanation{Zone: e.zone, Table: table.Version()}
	if route == nil {
		x.Refused = string(NoRoute)
		return x
	}
	x.Route, x.Sharded = route.Name, route.Sharded()
	// A request that relayFor can be asked about; it is never started.
	r := &activeRequest{engine: e, route: route, allowedZones: e.allowedZones(route)}
	if route.Sharded() {
		x.Required = route.RequiredShards()
		for _, service := range route.Shards {
			x.Services = append(x.Services, e.explainService(r, service, now))
		}
	} else {
		for _, weighted := range route.WeightedServices {
			service := e.explainService(r, weighted.Service, now)
			service.Weight = weighted.Weight
			x.Services = append(x.Services, service)
		}
	}
	x.explainRefusal()
	return x
}

// explainRefusal states whether too few services are available.
func (x *Explanation) explainRefusal() {
	available := 0
	for i := range x.Services {
		if x.Services[i].Available {
			available++
		}
	}
	if required := max(x.Required, 1); available < required {
		x.Refused = string(NoServer)
		x.Detail = fmt.Sprintf("%d of %d services with a server that answers, %d required", available, len(x.Services), required)
	}
}

func (e *Engine) explainService(r *activeRequest, service string, now time.Time) ServiceExplanation {
	x := ServiceExplanation{Service: service}
	x.ShareOut, x.LeaveFor = e.tracker.ShareSentOut(service)
	servers := r.usableServers(service)
	var best *replicas.Standing
	standings := e.tracker.Standings(servers, r.route.Name, now)
	for i := range standings {
		s := &standings[i]
		x.Servers = append(x.Servers, CandidateExplanation{
			Server: s.Server.ID, Zone: s.Server.Zone, Usable: s.Usable, Score: s.Score,
			ExpectedMs: float64(s.Expected) / float64(time.Millisecond), Running: s.Running, Reasons: s.Reasons,
		})
		if s.Usable && (best == nil || e.standsBetter(s, best)) {
			best = s
		}
	}
	if best == nil {
		return x
	}
	x.Server, x.Available = best.Server.ID, !best.Ejected
	if _, relay := r.relayFor(&shardRequest{service: service, servers: servers}, best.Server, first); relay != nil {
		x.Relay = relay.ID()
	}
	return x
}

// standsBetter reports whether a request that stays would go to a rather than to b: servers
// of this zone that are not ejected come first.
func (e *Engine) standsBetter(a, b *replicas.Standing) bool {
	if aHere, bHere := a.Server.Zone == e.zone && !a.Ejected, b.Server.Zone == e.zone && !b.Ejected; e.tracker.DecidesZones() && aHere != bHere {
		return aHere
	}
	return a.Score < b.Score
}
