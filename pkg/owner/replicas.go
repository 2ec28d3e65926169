package owner

import (
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/admission"
	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// replicaIdleTimeout is how long an unused replica keeps its pool and queue.
const replicaIdleTimeout = 2 * time.Minute

// replicas holds the state of the backend servers that this instance calls.
type replicas struct {
	view            *membership.View
	selfID          string
	options         backend.Options
	directInstances int // Config.DirectInstances
	now             func() time.Time

	mu   sync.Mutex
	byID map[string]*replica // guarded by mu
}

// get returns the state of a backend server with its limits updated, creating
// it on first use. The result is false when the server is not in the view.
func (rs *replicas) get(serverID string, limits Limits) (*replica, bool) {
	server, ok := rs.view.Server(serverID)
	if !ok {
		return nil, false
	}
	now := rs.now()
	rank := rs.view.RankOf(serverID, rs.selfID, now)
	r := rs.lookup(server, limits, rank)
	r.applyLimits(limits, rs.quota(rank, limits.Connections), now)
	return r, true
}

// quota returns the connections that this instance may open to a backend
// server.
func (rs *replicas) quota(rank, connections int) int {
	if rs.directInstances > 0 {
		return max(1, connections/rs.directInstances)
	}
	return connectionQuota(rank, connections)
}

// lookup returns the state of a backend server. A server whose address has
// changed gets a new state, and the connections to the old address are closed.
func (rs *replicas) lookup(server membership.BackendServer, limits Limits, rank int) *replica {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byID[server.ID]
	if ok && r.server.Address == server.Address {
		return r
	}
	if ok {
		go r.pool.Close()
	}
	options := rs.options
	options.MaxConnections = rs.quota(rank, limits.Connections)
	r = &replica{
		server: server,
		queue:  admission.NewQueue(limits.Slots, rs.now),
		pool:   backend.NewPool(server, options),
		limits: limits,
		quota:  options.MaxConnections,
	}
	rs.byID[server.ID] = r
	return r
}

// evictIdle closes replicas that were not used for replicaIdleTimeout.
func (rs *replicas) evictIdle(now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for id, r := range rs.byID {
		if now.Sub(r.idleSince()) > replicaIdleTimeout {
			delete(rs.byID, id)
			go r.pool.Close()
		}
	}
}

// closeAll closes every pool.
func (rs *replicas) closeAll() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for id, r := range rs.byID {
		delete(rs.byID, id)
		r.pool.Close()
	}
}

// isBusy reports whether a request for the backend server arrived within
// probeInterval.
func (rs *replicas) isBusy(serverID string, now time.Time) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byID[serverID]
	return ok && now.Sub(r.idleSince()) < probeInterval
}
