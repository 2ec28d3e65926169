package membership

import (
	"cmp"
	"slices"
)

// shardKey names the replicas of one shard.
type shardKey struct {
	team, service string
	shard         int
}

// roster indexes one published list. It is immutable.
type roster struct {
	revision  int64
	instances []candidate // by id
	byID      map[string]Instance
	servers   map[string]BackendServer
	shards    map[shardKey][]BackendServer // by replica
}

// newRoster indexes m. Entries are sorted, so that the order of the published
// list has no influence.
func newRoster(m Members, revision int64) *roster {
	r := &roster{
		revision: revision,
		byID:     make(map[string]Instance, len(m.Instances)),
		servers:  make(map[string]BackendServer, len(m.BackendServers)),
		shards:   make(map[shardKey][]BackendServer),
	}
	for _, instance := range m.Instances {
		r.byID[instance.ID] = instance
	}
	for _, instance := range r.byID {
		r.instances = append(r.instances, newCandidate(instance))
	}
	slices.SortFunc(r.instances, func(a, b candidate) int { return cmp.Compare(a.ID, b.ID) })
	for _, server := range m.BackendServers {
		r.servers[server.ID] = server
	}
	for _, server := range r.servers {
		key := shardKey{server.Team, server.Service, server.Shard}
		r.shards[key] = append(r.shards[key], server)
	}
	for _, replicas := range r.shards {
		slices.SortFunc(replicas, compareReplicas)
	}
	return r
}

func compareReplicas(a, b BackendServer) int {
	return cmp.Or(cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.ID, b.ID))
}

// instanceStates returns the state of every listed instance.
func (r *roster) instanceStates() map[string]State {
	states := make(map[string]State, len(r.byID))
	for id, instance := range r.byID {
		states[id] = instance.State
	}
	return states
}

// serverStates returns the state of every listed backend server.
func (r *roster) serverStates() map[string]State {
	states := make(map[string]State, len(r.servers))
	for id, server := range r.servers {
		states[id] = server.State
	}
	return states
}
