package owner

import (
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/admission"
	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// replicaIdle is how long an unused replica keeps its pool and queue.
const replicaIdle = 2 * time.Minute

// replicas holds the state of the backend servers that this instance calls.
type replicas struct {
	view    *membership.View
	selfID  string
	options backend.Options
	direct  int // instances without owners; 0 is off
	now     func() time.Time

	mu   sync.Mutex
	byID map[string]*replica // guarded by mu
}

// get returns the replica's state, creating it on first use. The result is
// false when the view does not know the backend server.
func (rs *replicas) get(serverID string, limits Limits) (*replica, bool) {
	server, ok := rs.view.Server(serverID)
	if !ok {
		return nil, false
	}
	now := rs.now()
	rank := rs.view.RankOf(serverID, rs.selfID, now)
	r := rs.lookup(server, limits, rank)
	r.adjust(limits, rs.quota(rank, limits.Connections), now)
	return r, true
}

// quota returns the connections that this instance may open to a backend
// server.
func (rs *replicas) quota(rank, connections int) int {
	if rs.direct > 0 {
		return max(1, connections/rs.direct)
	}
	return connectionQuota(rank, connections)
}

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
	options.Connections = rs.quota(rank, limits.Connections)
	r = &replica{
		server: server,
		queue:  admission.NewQueue(limits.Slots, rs.now),
		pool:   backend.NewPool(server, options),
		limits: limits,
		quota:  options.Connections,
	}
	rs.byID[server.ID] = r
	return r
}

// evictIdle closes replicas that were not used for replicaIdle.
func (rs *replicas) evictIdle(now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for id, r := range rs.byID {
		if now.Sub(r.idleSince()) > replicaIdle {
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

// isBusy reports whether a backend server got a request within probeInterval.
func (rs *replicas) isBusy(serverID string, now time.Time) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byID[serverID]
	return ok && now.Sub(r.idleSince()) < probeInterval
}
