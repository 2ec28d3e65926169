package standin

import (
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// FirstSnapshot is the version that a deployment serves at start.
const FirstSnapshot = 1

// Keys of the configuration service.
const (
	KeyBundle  = "bundle"
	KeyMembers = "members"
)

// IndexKey returns the key of a service's index document.
func IndexKey(team, service string) string { return "index/" + team + "/" + service }

// Deployment is a running platform: the configuration service and all backend
// servers of one user. It is safe for concurrent use.
type Deployment struct {
	Spec    DeploymentSpec
	Seed    uint64
	Config  *ConfigService
	Delays  *ZoneDelays
	Network *Network // between instances
	Runs    *RunLog
	Servers []*BackendServer // by service, shard, replica

	data map[string]*Dataset // by service name; not modified after start

	mu        sync.Mutex
	instances []membership.Instance // guarded by mu
	served    map[string][]int64    // guarded by mu; published versions per service
	known     map[string][]int64    // guarded by mu; versions ever published per service
}

// StartDeployment starts everything and publishes the index documents.
// Services may be limited to the names given; none means all.
func StartDeployment(spec DeploymentSpec, seed uint64, services ...string) (*Deployment, error) {
	spec, err := spec.Only(services...)
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Spec: spec, Seed: seed,
		Delays: NewZoneDelays(spec.BetweenOne),
		Runs:   &RunLog{},
		data:   map[string]*Dataset{},
		served: map[string][]int64{},
		known:  map[string][]int64{},
	}
	d.Network = NewNetwork(d.Delays)
	if d.Config, err = StartConfigService("", ""); err != nil {
		return nil, err
	}
	if err := d.startServices(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startServices() error {
	for _, service := range d.Spec.Services {
		d.data[service.Name] = DatasetOf(service, d.Seed)
		if err := d.startServers(service); err != nil {
			return err
		}
		if err := d.PublishIndex(service.Name, FirstSnapshot); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startServers(service ServiceSpec) error {
	for shard := range service.Shards {
		for replica := range service.Replicas {
			server, err := StartBackendServer(BackendConfig{
				Member:    Member(d.Spec, service, shard, replica),
				Service:   service,
				Data:      d.data[service.Name],
				Snapshots: []int64{FirstSnapshot},
				Delays:    d.Delays,
				Runs:      d.Runs,
				Seed:      d.Seed,
			})
			if err != nil {
				return err
			}
			d.Servers = append(d.Servers, server)
		}
	}
	return nil
}

// DatasetOf returns a service's dataset for a deployment seed.
func DatasetOf(service ServiceSpec, seed uint64) *Dataset {
	return NewDataset(seed, service.Team, service.Name, service.Documents, service.Shards)
}

// Member returns the platform's entry of one replica, without an address.
// Replicas of a shard are in different zones where there are enough.
func Member(spec DeploymentSpec, service ServiceSpec, shard, replica int) membership.BackendServer {
	return membership.BackendServer{
		ID:      fmt.Sprintf("%s-s%02d-r%d", service.Name, shard, replica),
		Team:    service.Team,
		Service: service.Name,
		Shard:   shard,
		Replica: replica,
		Region:  spec.Region,
		Zone:    spec.Zones[(shard+replica)%len(spec.Zones)],
		Rack:    fmt.Sprintf("rack-%d", shard%4),
		State:   membership.StateLive,
	}
}

// Data returns the dataset of a service, nil if there is none.
func (d *Deployment) Data(service string) *Dataset { return d.data[service] }

// Server returns the backend server of one replica.
func (d *Deployment) Server(service string, shard, replica int) (*BackendServer, error) {
	for _, server := range d.Servers {
		m := server.config.Member
		if m.Service == service && m.Shard == shard && m.Replica == replica {
			return server, nil
		}
	}
	return nil, eris.Errorf("no backend server for %s shard %d replica %d", service, shard, replica)
}

// ServersOf returns the backend servers of a service.
func (d *Deployment) ServersOf(service string) []*BackendServer {
	var out []*BackendServer
	for _, server := range d.Servers {
		if server.config.Member.Service == service {
			out = append(out, server)
		}
	}
	return out
}

// Stats returns the counters of all backend servers together.
func (d *Deployment) Stats() BackendStats {
	var total BackendStats
	for _, server := range d.Servers {
		total = total.plus(server.Stats())
	}
	return total
}

// Stop ends everything.
func (d *Deployment) Stop() {
	d.Network.Heal()
	var group sync.WaitGroup
	for _, server := range d.Servers {
		group.Go(server.Stop)
	}
	group.Wait()
	d.Config.Stop()
}

// Only returns the deployment limited to the named services; no name keeps all.
func (d DeploymentSpec) Only(names ...string) (DeploymentSpec, error) {
	if len(names) == 0 {
		return d, nil
	}
	limited := d
	limited.Services = nil
	for _, name := range names {
		service, err := d.Service(name)
		if err != nil {
			return d, err
		}
		limited.Services = append(limited.Services, service)
	}
	return limited, nil
}
