package entry

import (
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/pace"
)

// Bounds of the time that an owner may take to accept a request. The lower one
// is far above a round trip between availability zones. The upper one leaves
// time for another owner within a deadline of one second.
const (
	leastAckTimeout = 80 * time.Millisecond
	mostAckTimeout  = 250 * time.Millisecond
	// quietTime is the time without any acceptance after which an owner counts
	// as gone rather than slow.
	quietTime = 150 * time.Millisecond
)

// ackPaces follows how fast each owner accepts requests. With a fixed limit of
// 60 ms a busy machine made the instances fail over to each other until most
// work was repeated. It is safe for concurrent use.
type ackPaces struct {
	mu     sync.Mutex
	owners map[string]*ackPace // by instance id; guarded by mu
}

// ackPace is what is known of one owner.
type ackPace struct {
	peak  pace.Peak
	heard time.Time // latest acceptance
}

func newAckPaces() *ackPaces {
	return &ackPaces{owners: make(map[string]*ackPace)}
}

// accepted adds the time that an owner took to accept a request.
func (a *ackPaces) accepted(owner string, took time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	of := a.of(owner)
	of.peak.Record(took)
	of.heard = now
}

// waited adds a time that was waited in vain.
func (a *ackPaces) waited(owner string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(owner).peak.Record(took)
}

// limit returns the time to wait for an owner. An owner that is gone gets the
// least: its silence says nothing about its pace.
func (a *ackPaces) limit(owner string, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.of(owner).heard) > quietTime {
		return leastAckTimeout
	}
	return min(a.of(owner).peak.Limit(leastAckTimeout), mostAckTimeout)
}

// isGone reports that the owner has accepted nothing for quietTime, so that it
// is not merely slow.
func (a *ackPaces) isGone(owner string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.of(owner).heard) > quietTime
}

// of returns the state of an owner; the caller holds a.mu.
func (a *ackPaces) of(owner string) *ackPace {
	known, ok := a.owners[owner]
	if !ok {
		known = &ackPace{}
		a.owners[owner] = known
	}
	return known
}
