package owner

import (
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/admission"
	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// replica is the owner's state for one backend server.
type replica struct {
	server membership.BackendServer
	queue  *admission.Queue
	pool   *backend.Pool

	mu       sync.Mutex
	limits   Limits    // guarded by mu
	quota    int       // of connections, guarded by mu
	lastUsed time.Time // guarded by mu
}

// adjust applies the limits of the request's bundle and the connection quota.
func (r *replica) adjust(limits Limits, quota int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastUsed = now
	if r.limits == limits && r.quota == quota {
		return
	}
	r.limits, r.quota = limits, quota
	r.queue.SetSlots(limits.Slots)
	r.pool.SetConnections(quota)
}

// idleSince returns when the replica was last used.
func (r *replica) idleSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastUsed
}
