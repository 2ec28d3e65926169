package membership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// View is one instance's view of the other instances and of the backend
// servers. It is safe for concurrent use. Slices that its methods return are
// shared and must not be modified.
type View struct {
	selfID   string
	selfZone string

	index   atomic.Pointer[memberIndex]
	current atomic.Pointer[epoch] // nil after a change, until the next read

	// lastSeen holds the incarnation seen last by seenKey; it is written with mu
	// held and read without.
	lastSeen sync.Map

	mu               sync.Mutex
	drainedServers   *drainLedger // guarded by mu
	drainedInstances *drainLedger // guarded by mu
	suspicion        *suspicion   // guarded by mu
	built            *epoch       // the last one, guarded by mu
}

// NewView returns a view without members for the instance selfID in the
// availability zone selfZone.
func NewView(selfID, selfZone string) *View {
	v := &View{
		selfID:           selfID,
		selfZone:         selfZone,
		drainedServers:   newDrainLedger(),
		drainedInstances: newDrainLedger(),
		suspicion:        newSuspicion(),
	}
	v.index.Store(newMemberIndex(Members{}, -1))
	return v
}

// Apply takes over a published list. A revision that is not newer than the
// applied one is ignored.
func (v *View) Apply(m Members, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision <= v.index.Load().revision {
		return
	}
	v.replace(newMemberIndex(m, revision))
}

// Replace is Apply for a list that the caller has already ordered: it also
// takes over another list of the same revision.
func (v *View) Replace(m Members, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision < v.index.Load().revision {
		return
	}
	v.replace(newMemberIndex(m, revision))
}

// replace installs x. Caller holds v.mu.
func (v *View) replace(x *memberIndex) {
	v.index.Store(x)
	v.drainedServers.settle(x.serverStates())
	v.drainedInstances.settle(x.instanceStates())
	v.suspicion.settle(x.instanceStates())
	v.lastSeen.Clear()
	v.current.Store(nil)
}

// Revision returns the revision of the applied list, -1 before the first.
func (v *View) Revision() int64 {
	return v.index.Load().revision
}

// epochAt returns the epoch that holds at now.
func (v *View) epochAt(now time.Time) *epoch {
	if e := v.current.Load(); e != nil && e.validAt(now) {
		return e
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := v.current.Load(); e != nil && e.validAt(now) {
		return e
	}
	e := v.build(now)
	v.current.Store(e)
	return e
}

// Owners returns the owners of a backend server, rank 1 first: usable
// instances of its availability zone, then others until there are three.
func (v *View) Owners(serverID string, now time.Time) []Instance {
	return v.epochAt(now).owners[serverID]
}

// RankOf returns the rank 1..3 of an instance for a backend server, 0 when it
// is not an owner.
func (v *View) RankOf(serverID, instanceID string, now time.Time) int {
	owners := v.Owners(serverID, now)
	return 1 + slices.IndexFunc(owners, func(o Instance) bool { return o.ID == instanceID })
}

// OwnedServers returns the backend servers that this instance owns, by id.
func (v *View) OwnedServers(now time.Time) []OwnedServer {
	return v.epochAt(now).owned
}

// Replicas returns the backend servers of a shard by replica number, without
// leaving and draining ones.
func (v *View) Replicas(team, service string, shard int, now time.Time) []BackendServer {
	e := v.epochAt(now)
	key := shardKey{team, service, shard}
	if reduced, ok := e.reduced[key]; ok {
		return reduced
	}
	return e.index.shards[key]
}

// Instances returns the usable instances by id: live, not draining and not
// suspected.
func (v *View) Instances(now time.Time) []Instance {
	return v.epochAt(now).usable
}

// Server returns a listed backend server in any state.
func (v *View) Server(id string) (BackendServer, bool) {
	server, ok := v.index.Load().servers[id]
	return server, ok
}

// Instance returns a listed instance in any state.
func (v *View) Instance(id string) (Instance, bool) {
	instance, ok := v.index.Load().byID[id]
	return instance, ok
}

// Listed returns all listed instances by id, in any state.
func (v *View) Listed() []Instance {
	return v.index.Load().listed
}
