package membership

import (
	"slices"
	"time"
)

// incarnationKey identifies a backend server or an instance by the notices that
// it is recorded in and by its id.
type incarnationKey struct {
	notices *drainNotices
	id      string
}

// RecordCall records whether a call to another instance succeeded. Consecutive
// failures make the instance suspected for a limited time.
func (v *View) RecordCall(instanceID string, ok bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.failures.recordCall(instanceID, ok, now) {
		v.placement.Store(nil)
	}
}

// RecordServerDrain records that an incarnation of a backend server was draining
// at the time observed. The notice holds until the platform's list calls the
// server leaving or drops it, until a newer incarnation replies, or for 60 s.
// RecordServerDrain reports whether the backend server was not known to be
// draining before.
func (v *View) RecordServerDrain(serverID, incarnation string, observed time.Time) (changed bool) {
	return v.recordDrain(v.serverDrains, serverID, incarnation, observed)
}

// RecordInstanceDrain does for an instance what RecordServerDrain does for a
// backend server.
func (v *View) RecordInstanceDrain(id, incarnation string, observed time.Time) (changed bool) {
	return v.recordDrain(v.instanceDrains, id, incarnation, observed)
}

// RecordServerReply records that an incarnation of a backend server replied
// without draining. This ends the drain notice of any other incarnation.
func (v *View) RecordServerReply(serverID, incarnation string) {
	v.recordReply(v.serverDrains, serverID, incarnation)
}

// RecordInstanceReply does for an instance what RecordServerReply does for a
// backend server.
func (v *View) RecordInstanceReply(id, incarnation string) {
	v.recordReply(v.instanceDrains, id, incarnation)
}

// IsDraining reports whether a drain notice holds for a backend server.
func (v *View) IsDraining(serverID string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.serverDrains.isDraining(serverID, now)
}

func (v *View) recordDrain(notices *drainNotices, id, incarnation string, observed time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed, renewed := notices.recordDrain(id, incarnation, observed)
	if changed {
		v.lastIncarnation.Delete(incarnationKey{notices, id})
	}
	if changed || renewed {
		v.placement.Store(nil)
	}
	return changed
}

// recordReply runs for every reply. It takes no lock in the usual case, in which
// the incarnation is the one recorded last.
func (v *View) recordReply(notices *drainNotices, id, incarnation string) {
	key := incarnationKey{notices, id}
	if last, ok := v.lastIncarnation.Load(key); ok && last == incarnation {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Contains(notices.recordOf(id).superseded, incarnation) {
		v.lastIncarnation.Store(key, incarnation)
	}
	if notices.recordReply(id, incarnation) {
		v.placement.Store(nil)
	}
}

// AcceptsRequests reports whether a backend server may get new requests: the
// platform's list calls it live and no drain notice holds for it.
func (v *View) AcceptsRequests(serverID string, now time.Time) bool {
	server, ok := v.Server(serverID)
	return ok && server.State != StateLeaving && !v.IsDraining(serverID, now)
}
