package membership

import (
	"cmp"
	"slices"
)

// shardKey identifies one shard of a service.
type shardKey struct {
	team, service string
	shard         int
}

// memberIndex indexes one list of the platform for look-ups. It is immutable.
type memberIndex struct {
	revision  int64
	instances []candidate // sorted by id, one per id
	listed    []Instance  // the same instances without their hashes
	byID      map[string]Instance
	servers   map[string]BackendServer     // by id
	shards    map[shardKey][]BackendServer // sorted by replica number, without leaving ones
}

// newMemberIndex indexes m. It sorts the entries, because all instances must
// compute the same results however the published list is ordered.
func newMemberIndex(m Members, revision int64) *memberIndex {
	x := &memberIndex{
		revision: revision,
		byID:     make(map[string]Instance, len(m.Instances)),
		servers:  make(map[string]BackendServer, len(m.BackendServers)),
		shards:   make(map[shardKey][]BackendServer),
	}
	for _, instance := range m.Instances {
		x.byID[instance.ID] = instance
	}
	for _, instance := range x.byID {
		x.instances = append(x.instances, newCandidate(instance))
	}
	slices.SortFunc(x.instances, func(a, b candidate) int { return cmp.Compare(a.ID, b.ID) })
	for _, c := range x.instances {
		x.listed = append(x.listed, c.Instance)
	}
	for _, server := range m.BackendServers {
		x.servers[server.ID] = server
	}
	for _, server := range x.servers {
		if server.State == StateLeaving {
			continue
		}
		key := shardKey{server.Team, server.Service, server.Shard}
		x.shards[key] = append(x.shards[key], server)
	}
	for _, replicas := range x.shards {
		slices.SortFunc(replicas, compareReplicas)
	}
	return x
}

func compareReplicas(a, b BackendServer) int {
	return cmp.Or(cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.ID, b.ID))
}

// instanceStates returns the state of every listed instance.
func (x *memberIndex) instanceStates() map[string]State {
	states := make(map[string]State, len(x.byID))
	for id, instance := range x.byID {
		states[id] = instance.State
	}
	return states
}

// serverStates returns the state of every listed backend server.
func (x *memberIndex) serverStates() map[string]State {
	states := make(map[string]State, len(x.servers))
	for id, server := range x.servers {
		states[id] = server.State
	}
	return states
}
