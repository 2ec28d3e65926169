package submission

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// ownershipRanks is the number of owners per replica that have connections.
const ownershipRanks = 3

// place is the shard of a key with its replicas, in order of preference.
type place struct {
	shard   int
	servers []membership.BackendServer
}

// owner is an instance that may issue a ticket for a replica that it owns.
type owner struct {
	instance membership.Instance
	serverID string
}

// place finds the shard that holds the key in the newest snapshot. Replicas in
// this instance's availability zone come first; the key rotates the order, so
// that keys spread over the replicas.
func (r *Router) place(team, service, key string) (place, *Refusal) {
	manifest, ok := r.config.Control.Manifest(team, service)
	if !ok || len(manifest.Snapshots) == 0 {
		return place{}, &Refusal{Reason: ReasonNoSnapshot, Run: peerpb.RunState_RUN_STATE_NOT_RUN}
	}
	partition, ok := newest(manifest).PartitionOf(key)
	if !ok {
		return place{}, &Refusal{Reason: ReasonNoShard, Run: peerpb.RunState_RUN_STATE_NOT_RUN}
	}
	replicas := r.config.View.Replicas(team, service, partition.Shard, r.config.Now())
	servers := rotate(replicas, xxhash.Sum64String(key))
	slices.SortStableFunc(servers, func(a, b membership.BackendServer) int {
		return r.distance(a) - r.distance(b)
	})
	return place{shard: partition.Shard, servers: servers}, nil
}

func newest(manifest *snapshot.Manifest) snapshot.Snapshot {
	return slices.MaxFunc(manifest.Snapshots, func(a, b snapshot.Snapshot) int {
		return int(min(max(a.Version-b.Version, -1), 1))
	})
}

func rotate(servers []membership.BackendServer, hash uint64) []membership.BackendServer {
	if len(servers) == 0 {
		return nil
	}
	first := int(hash % uint64(len(servers)))
	return append(slices.Clone(servers[first:]), servers[:first]...)
}

func (r *Router) distance(server membership.BackendServer) int {
	if server.Zone == r.config.Self.Zone {
		return 0
	}
	return 1
}

// owners returns the owners of all replicas, first ranks first, each once.
func (r *Router) owners(p place) []owner {
	now := r.config.Now()
	seen := map[string]bool{}
	var found []owner
	for rank := range ownershipRanks {
		for _, server := range p.servers {
			instances := r.config.View.Owners(server.ID, now)
			if rank >= len(instances) || seen[instances[rank].ID] {
				continue
			}
			seen[instances[rank].ID] = true
			found = append(found, owner{instance: instances[rank], serverID: server.ID})
		}
	}
	return found
}

// candidates orders the replicas for an issuer: the lower its ownership rank,
// the more of the backend server's connections it may use.
func (r *Router) candidates(p place, issuerID string) []string {
	now := r.config.Now()
	rank := func(server membership.BackendServer) int {
		for n, instance := range r.config.View.Owners(server.ID, now) {
			if instance.ID == issuerID {
				return n
			}
		}
		return ownershipRanks
	}
	servers := slices.Clone(p.servers)
	slices.SortStableFunc(servers, func(a, b membership.BackendServer) int { return rank(a) - rank(b) })
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		ids = append(ids, server.ID)
	}
	return ids
}
