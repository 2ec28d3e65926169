package entry

import (
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/adaptivetimeout"
)

// Bounds of the time that an owner gets to acknowledge a search message. The
// lower bound is far above a round trip between availability zones. The upper
// bound leaves time for another owner within a deadline of one second.
const (
	minAckTimeout = 80 * time.Millisecond
	maxAckTimeout = 250 * time.Millisecond
	// silenceThreshold is the time without any acknowledgement after which an
	// owner counts as silent rather than slow.
	silenceThreshold = 150 * time.Millisecond
)

// ackTimeouts derives from recent acknowledgements how long to wait for each
// owner. A fixed limit of 60 ms made the instances on a busy machine fail over
// to each other until most of the work was repeated. It is safe for concurrent
// use.
type ackTimeouts struct {
	mu     sync.Mutex
	owners map[string]*ownerAcks // by instance id; guarded by mu
}

// ownerAcks holds the acknowledgement times of one owner.
type ownerAcks struct {
	peakLatency adaptivetimeout.Estimator
	lastAck     time.Time // time of the latest acknowledgement
}

func newAckTimeouts() *ackTimeouts {
	return &ackTimeouts{owners: make(map[string]*ownerAcks)}
}

// recordAck adds the time that an owner took to acknowledge a message.
func (a *ackTimeouts) recordAck(owner string, took time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.ownerLocked(owner)
	state.peakLatency.Record(took)
	state.lastAck = now
}

// recordTimeout adds a wait that ended without an acknowledgement.
func (a *ackTimeouts) recordTimeout(owner string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownerLocked(owner).peakLatency.Record(took)
}

// timeout returns how long to wait for an owner's acknowledgement. A silent
// owner gets the minimum, because its earlier times predict nothing.
func (a *ackTimeouts) timeout(owner string, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.ownerLocked(owner).lastAck) > silenceThreshold {
		return minAckTimeout
	}
	return min(a.ownerLocked(owner).peakLatency.Timeout(minAckTimeout), maxAckTimeout)
}

// isSilent reports whether the owner has acknowledged nothing for longer than
// silenceThreshold and is therefore not merely slow.
func (a *ackTimeouts) isSilent(owner string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.ownerLocked(owner).lastAck) > silenceThreshold
}

// ownerLocked returns the acknowledgement times of an owner. The caller holds
// a.mu.
func (a *ackTimeouts) ownerLocked(owner string) *ownerAcks {
	state, ok := a.owners[owner]
	if !ok {
		state = &ownerAcks{}
		a.owners[owner] = state
	}
	return state
}
