package membership

import (
	"slices"
	"time"
)

// seenKey names one id in one of the two ledgers.
type seenKey struct {
	ledger *drainLedger
	id     string
}

// ReportCall records the result of a call to another instance. Consecutive
// failures make it suspected for a while.
func (v *View) ReportCall(instanceID string, ok bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.suspicion.report(instanceID, ok, now) {
		v.current.Store(nil)
	}
}

// Drain records that an incarnation of a backend server was observed draining
// at observed. The notice holds until the list says leaving or removed, a newer
// incarnation is seen, or 60 s have passed. It reports whether the backend
// server was not known to drain before.
func (v *View) Drain(serverID, incarnation string, observed time.Time) (changed bool) {
	return v.drain(v.drainedServers, serverID, incarnation, observed)
}

// DrainInstance is Drain for an instance.
func (v *View) DrainInstance(id, incarnation string, observed time.Time) (changed bool) {
	return v.drain(v.drainedInstances, id, incarnation, observed)
}

// SeenIncarnation records that an incarnation of a backend server replied
// without draining. It ends a drain notice of another incarnation.
func (v *View) SeenIncarnation(serverID, incarnation string) {
	v.seen(v.drainedServers, serverID, incarnation)
}

// SeenInstanceIncarnation is SeenIncarnation for an instance.
func (v *View) SeenInstanceIncarnation(id, incarnation string) {
	v.seen(v.drainedInstances, id, incarnation)
}

// IsDraining reports whether a drain notice holds for a backend server.
func (v *View) IsDraining(serverID string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.drainedServers.isDraining(serverID, now)
}

func (v *View) drain(l *drainLedger, id, incarnation string, observed time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed, renewed := l.drain(id, incarnation, observed)
	if changed {
		v.lastSeen.Delete(seenKey{l, id})
	}
	if changed || renewed {
		v.current.Store(nil)
	}
	return changed
}

// seen is called for every reply, so the usual case of an unchanged incarnation
// takes no lock.
func (v *View) seen(l *drainLedger, id, incarnation string) {
	key := seenKey{l, id}
	if last, ok := v.lastSeen.Load(key); ok && last == incarnation {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Contains(l.entry(id).superseded, incarnation) {
		v.lastSeen.Store(key, incarnation)
	}
	if l.seen(id, incarnation) {
		v.current.Store(nil)
	}
}

// MayReceive reports whether a backend server may receive new work: it is
// listed as live and has not announced that it drains.
func (v *View) MayReceive(serverID string, now time.Time) bool {
	server, ok := v.Server(serverID)
	return ok && server.State != StateLeaving && !v.IsDraining(serverID, now)
}
