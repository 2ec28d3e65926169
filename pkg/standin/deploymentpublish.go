package standin

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// PublishBundle publishes a signed bundle and returns its revision.
func (d *Deployment) PublishBundle(data []byte) (int64, error) {
	return d.Config.Publish(KeyBundle, data)
}

// SetInstances sets the instances of the platform's list and publishes it.
func (d *Deployment) SetInstances(instances []membership.Instance) error {
	d.mu.Lock()
	d.instances = append([]membership.Instance(nil), instances...)
	d.mu.Unlock()
	return d.PublishMembers()
}

// PublishMembers publishes the platform's list as it is now.
func (d *Deployment) PublishMembers() error {
	_, err := d.Config.Publish(KeyMembers, mustJSON(d.Members()))
	return err
}

// PublishMembersAfter publishes the list as it is now after a lag.
func (d *Deployment) PublishMembersAfter(lag time.Duration) {
	data := mustJSON(d.Members())
	time.AfterFunc(lag, func() { _, _ = d.Config.Publish(KeyMembers, data) })
}

// Members returns the platform's list as it is now. Lost servers stay in it.
func (d *Deployment) Members() membership.Members {
	d.mu.Lock()
	members := membership.Members{Instances: append([]membership.Instance(nil), d.instances...)}
	d.mu.Unlock()
	for _, server := range d.Servers {
		members.BackendServers = append(members.BackendServers, server.Member())
	}
	return members
}

// PublishIndex publishes an index document with the given versions.
func (d *Deployment) PublishIndex(service string, versions ...int64) error {
	data := d.data[service]
	if data == nil {
		return eris.Errorf("deployment %s has no service %q", d.Spec.Name, service)
	}
	d.mu.Lock()
	d.served[service] = append([]int64(nil), versions...)
	for _, version := range versions {
		if !slices.Contains(d.known[service], version) {
			d.known[service] = append(d.known[service], version)
		}
	}
	d.mu.Unlock()
	_, err := d.Config.Publish(IndexKey(data.Team, service), mustJSON(data.Manifest(versions...)))
	return err
}

// Versions returns the published versions of a service, ascending.
func (d *Deployment) Versions(service string) []int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int64(nil), d.served[service]...)
}

// Known returns every version that a service has ever published.
func (d *Deployment) Known(service string) []int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int64(nil), d.known[service]...)
}

// LoadSnapshot makes all servers of a service serve a further version, shard
// by shard with a pause between shards.
func (d *Deployment) LoadSnapshot(service string, version int64, pause time.Duration) {
	for i, server := range d.ServersOf(service) {
		if i > 0 {
			time.Sleep(pause)
		}
		server.SetSnapshots(append(server.Snapshots(), version)...)
	}
}

// DropSnapshots makes all servers of a service serve only the version given.
func (d *Deployment) DropSnapshots(service string, keep int64, pause time.Duration) {
	for i, server := range d.ServersOf(service) {
		if i > 0 {
			time.Sleep(pause)
		}
		server.SetSnapshots(keep)
	}
}

// Repartition moves a service to the next snapshot, which has other partition
// boundaries: the servers load it, the index lists both, and after overlap the
// old one is removed from the index and from the servers.
func (d *Deployment) Repartition(service string, overlap time.Duration) error {
	versions := d.Versions(service)
	if len(versions) == 0 {
		return eris.Errorf("service %q has no published snapshot", service)
	}
	old := versions[len(versions)-1]
	d.LoadSnapshot(service, old+1, 0)
	if err := d.PublishIndex(service, old, old+1); err != nil {
		return err
	}
	time.Sleep(overlap)
	if err := d.PublishIndex(service, old+1); err != nil {
		return err
	}
	d.DropSnapshots(service, old+1, 0)
	return nil
}
