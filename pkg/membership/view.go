package membership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// View is one instance's view of the other instances and of the backend servers.
// It is safe for concurrent use. Callers must not modify the slices that its
// methods return, since they are shared.
type View struct {
	selfID   string
	selfZone string

	index     atomic.Pointer[memberIndex]
	placement atomic.Pointer[placement] // nil after a change, until the next read computes it

	// lastIncarnation holds the latest incarnation by incarnationKey. It is written
	// while mu is held and read without mu.
	lastIncarnation sync.Map

	mu             sync.Mutex
	serverDrains   *drainNotices    // guarded by mu
	instanceDrains *drainNotices    // guarded by mu
	failures       *failureDetector // guarded by mu
	lastBuilt      *placement       // the latest placement, kept after changes; guarded by mu
}

// NewView returns a view without members. It belongs to the instance selfID in
// the availability zone selfZone.
func NewView(selfID, selfZone string) *View {
	v := &View{
		selfID:         selfID,
		selfZone:       selfZone,
		serverDrains:   newDrainNotices(),
		instanceDrains: newDrainNotices(),
		failures:       newFailureDetector(),
	}
	v.index.Store(newMemberIndex(Members{}, -1))
	return v
}

// Apply replaces the platform's list. It ignores a revision that is not newer
// than the current one.
func (v *View) Apply(m Members, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision <= v.index.Load().revision {
		return
	}
	v.install(newMemberIndex(m, revision))
}

// Replace is Apply for a caller that orders the lists itself: it also accepts
// another list with the current revision.
func (v *View) Replace(m Members, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision < v.index.Load().revision {
		return
	}
	v.install(newMemberIndex(m, revision))
}

// install makes x the current list. The caller holds v.mu.
func (v *View) install(x *memberIndex) {
	v.index.Store(x)
	v.serverDrains.reconcile(x.serverStates())
	v.instanceDrains.reconcile(x.instanceStates())
	v.failures.forgetUnlisted(x.instanceStates())
	v.lastIncarnation.Clear()
	v.placement.Store(nil)
}

// Revision returns the revision of the current list, or -1 before the first one.
func (v *View) Revision() int64 {
	return v.index.Load().revision
}

// placementAt returns the placement that applies at now, and computes it if the
// latest one is out of date.
func (v *View) placementAt(now time.Time) *placement {
	if p := v.placement.Load(); p != nil && p.validAt(now) {
		return p
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.placement.Load(); p != nil && p.validAt(now) {
		return p
	}
	p := v.buildPlacement(now)
	v.placement.Store(p)
	return p
}

// Owners returns the owners of a backend server, rank 1 first: usable instances
// of its availability zone, then of other zones if the zone has fewer than three.
func (v *View) Owners(serverID string, now time.Time) []Instance {
	return v.placementAt(now).owners[serverID]
}

// RankOf returns the rank of an instance among the owners of a backend server,
// from 1 to 3, or 0 when the instance is not an owner.
func (v *View) RankOf(serverID, instanceID string, now time.Time) int {
	owners := v.Owners(serverID, now)
	return 1 + slices.IndexFunc(owners, func(o Instance) bool { return o.ID == instanceID })
}

// OwnedServers returns the backend servers that this instance owns, sorted by id.
func (v *View) OwnedServers(now time.Time) []OwnedServer {
	return v.placementAt(now).owned
}

// Replicas returns the backend servers of a shard that are neither leaving nor
// draining, sorted by replica number.
func (v *View) Replicas(team, service string, shard int, now time.Time) []BackendServer {
	p := v.placementAt(now)
	key := shardKey{team, service, shard}
	if reduced, ok := p.reducedReplicas[key]; ok {
		return reduced
	}
	return p.index.shards[key]
}

// UsableInstances returns the usable instances, sorted by id: those that are live
// and neither draining nor suspected. When there is none, it returns this instance
// alone.
func (v *View) UsableInstances(now time.Time) []Instance {
	return v.placementAt(now).usable
}

// Server returns a backend server of the platform's list, in whatever state.
func (v *View) Server(id string) (BackendServer, bool) {
	server, ok := v.index.Load().servers[id]
	return server, ok
}

// Instance returns an instance of the platform's list, in whatever state.
func (v *View) Instance(id string) (Instance, bool) {
	instance, ok := v.index.Load().byID[id]
	return instance, ok
}

// ListedInstances returns all instances of the platform's list, in whatever state,
// sorted by id.
func (v *View) ListedInstances() []Instance {
	return v.index.Load().listed
}
