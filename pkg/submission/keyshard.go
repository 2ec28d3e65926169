package submission

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// ownershipRanks is the number of owners of a replica that keep connections to
// its backend server.
const ownershipRanks = 3

// keyShard is the shard that holds a key, with its replicas in order of
// preference.
type keyShard struct {
	index    int
	replicas []membership.BackendServer
}

// owner is an instance that owns a replica and may issue tickets for it.
type owner struct {
	instance membership.Instance
	serverID string
}

// shardOfKey finds the shard that holds the key in the newest snapshot. Replicas
// in this instance's availability zone come first. Within a zone, the hash of
// the key rotates the order, which spreads the keys over the replicas.
func (r *Router) shardOfKey(team, service, key string) (keyShard, *Refusal) {
	manifest, ok := r.config.Control.Manifest(team, service)
	if !ok || len(manifest.Snapshots) == 0 {
		return keyShard{}, &Refusal{Reason: ReasonNoSnapshot, Run: peerpb.RunState_RUN_STATE_NOT_RUN}
	}
	partition, ok := newestSnapshot(manifest).PartitionOf(key)
	if !ok {
		return keyShard{}, &Refusal{Reason: ReasonNoShard, Run: peerpb.RunState_RUN_STATE_NOT_RUN}
	}
	replicas := r.config.View.Replicas(team, service, partition.Shard, r.config.Now())
	servers := rotate(replicas, xxhash.Sum64String(key))
	slices.SortStableFunc(servers, func(a, b membership.BackendServer) int {
		return r.zoneDistance(a) - r.zoneDistance(b)
	})
	return keyShard{index: partition.Shard, replicas: servers}, nil
}

func newestSnapshot(manifest *snapshot.Manifest) snapshot.Snapshot {
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

func (r *Router) zoneDistance(server membership.BackendServer) int {
	if server.Zone == r.config.Self.Zone {
		return 0
	}
	return 1
}

// owners returns the owners of all replicas, each instance once. Owners of the
// first rank come first, then those of the second rank, and so on.
func (r *Router) owners(shard keyShard) []owner {
	now := r.config.Now()
	seen := map[string]bool{}
	var found []owner
	for rank := range ownershipRanks {
		for _, server := range shard.replicas {
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

// candidateServerIDs returns the replicas' backend server ids in the order in
// which the issuer tries them. Servers for which the issuer has the lowest
// ownership rank come first, since a lower rank may use more connections.
func (r *Router) candidateServerIDs(shard keyShard, issuerID string) []string {
	now := r.config.Now()
	rank := func(server membership.BackendServer) int {
		for n, instance := range r.config.View.Owners(server.ID, now) {
			if instance.ID == issuerID {
				return n
			}
		}
		return ownershipRanks
	}
	servers := slices.Clone(shard.replicas)
	slices.SortStableFunc(servers, func(a, b membership.BackendServer) int { return rank(a) - rank(b) })
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		ids = append(ids, server.ID)
	}
	return ids
}
