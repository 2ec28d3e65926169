package owner

import (
	"slices"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/admission"
	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// replica is the owner's state for one backend server: the queue of attempts,
// the connections and their limits.
type replica struct {
	server membership.BackendServer
	queue  *admission.Queue
	pool   *backend.Pool

	mu       sync.Mutex
	limits   Limits    // guarded by mu
	quota    int       // connections that this instance may open; guarded by mu
	lastUsed time.Time // guarded by mu
	crashers []uint64  // fingerprints of requests that crashed the server since its last reply; guarded by mu
}

// maxCrashers bounds the memory for crashers. More than one is kept because
// requests that run concurrently can crash a backend server together.
const maxCrashers = 16

func (r *replica) recordCrash(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashers) < maxCrashers && !slices.Contains(r.crashers, fingerprint) {
		r.crashers = append(r.crashers, fingerprint)
	}
}

func (r *replica) wasCrashedBy(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.crashers, fingerprint)
}

// recordReply records that the backend server is running, and clears the recorded
// crashes.
func (r *replica) recordReply() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashers = nil
}

// applyLimits applies the limits of the request's bundle and the connection quota,
// and records the use of the replica.
func (r *replica) applyLimits(limits Limits, quota int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastUsed = now
	if r.limits == limits && r.quota == quota {
		return
	}
	r.limits, r.quota = limits, quota
	r.queue.SetSlots(limits.Slots)
	r.pool.SetMaxConnections(quota)
}

// idleSince returns when the replica was last used.
func (r *replica) idleSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastUsed
}
