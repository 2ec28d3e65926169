package standin

import (
	"time"

	"github.com/rotisserie/eris"
)

// Names of the deployments.
const (
	OfficeName        = "office"
	AgendaSerenaName  = "agenda-serena"
	backendConnect    = 6 * time.Millisecond
	clientToZone      = 1 * time.Millisecond
	searchDocuments   = 4000
	replicaDocuments  = 400
	shardedConns      = 25
	shardedSlots      = 2
	shardedReplicas   = 2
	serviceTimeSpread = 0.5
)

// Zones are the availability zones of both deployments.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// DeploymentSpec describes the platform of one user of the system.
type DeploymentSpec struct {
	Name       string
	Team       string
	Region     string
	Zones      []string
	BetweenOne time.Duration // one way between two zones
	ClientOne  time.Duration // one way between a caller and its zone
	Instances  int           // entry instances
	Services   []ServiceSpec
}

// SpecByName returns the office or agenda-serena deployment.
func SpecByName(name string) (DeploymentSpec, error) {
	switch name {
	case OfficeName:
		return Office(), nil
	case AgendaSerenaName:
		return AgendaSerena(), nil
	}
	return DeploymentSpec{}, eris.Errorf("deployment %q is neither %s nor %s", name, OfficeName, AgendaSerenaName)
}

// Office returns the deployment of the licensing office.
func Office() DeploymentSpec {
	return DeploymentSpec{
		Name: OfficeName, Team: OfficeName, Region: "bratislava", Zones: Zones,
		BetweenOne: 3 * time.Millisecond, ClientOne: clientToZone, Instances: 7,
		Services: []ServiceSpec{
			sharded(OfficeName, "renewal-search", 20),
			sharded(OfficeName, "aeromedical-exchange", 30),
			replicated(OfficeName, "school-portal", 4, 6, 100),
			submitting(replicated(OfficeName, "fee-ledger", 3, 6, 100)),
		},
	}
}

// AgendaSerena returns the deployment of the booking service.
func AgendaSerena() DeploymentSpec {
	return DeploymentSpec{
		Name: AgendaSerenaName, Team: AgendaSerenaName, Region: "bogota", Zones: Zones,
		BetweenOne: 5 * time.Millisecond, ClientOne: clientToZone, Instances: 6,
		Services: []ServiceSpec{
			sharded(AgendaSerenaName, "booking-search", 20),
			submitting(sharded(AgendaSerenaName, "payments", 30)),
			replicated(AgendaSerenaName, "profiles", 5, 4, 40),
			replicated(AgendaSerenaName, "reminders", 3, 4, 40),
		},
	}
}

// Service returns the service of a name.
func (d DeploymentSpec) Service(name string) (ServiceSpec, error) {
	for _, service := range d.Services {
		if service.Name == name {
			return service, nil
		}
	}
	return ServiceSpec{}, eris.Errorf("deployment %s has no service %q", d.Name, name)
}

func sharded(team, name string, shards int) ServiceSpec {
	return ServiceSpec{
		Team: team, Name: name, Shards: shards, Replicas: shardedReplicas,
		Slots: shardedSlots, Connections: shardedConns, ConnectDelay: backendConnect,
		Documents: searchDocuments,
		Time:      ServiceTime{Median: 8 * time.Millisecond, Sigma: serviceTimeSpread},
	}
}

func replicated(team, name string, replicas, slots, connections int) ServiceSpec {
	return ServiceSpec{
		Team: team, Name: name, Shards: 1, Replicas: replicas,
		Slots: slots, Connections: connections,
		Documents: replicaDocuments,
		Time:      ServiceTime{Median: 5 * time.Millisecond, Sigma: serviceTimeSpread},
	}
}

func submitting(spec ServiceSpec) ServiceSpec {
	spec.Submission = true
	return spec
}
