package standin

import (
	"context"
	"sync/atomic"
	"time"
)

// Requests waiting for a slot beyond this multiple of the slots are shed.
const shedQueuePerSlot = 8

// refusal is a reason for not running a request; empty when it runs.
type refusal string

const (
	refusalNone         refusal = ""
	refusalShed         refusal = "shed"
	refusalDraining     refusal = "draining"
	refusalCold         refusal = "cold"
	refusalSnapshotGone refusal = "snapshot-gone"
	refusalDeadline     refusal = "deadline"
	refusalInvalid      refusal = "invalid-request"
	refusalCancelled    refusal = "cancelled" // the caller is gone; nothing is sent
)

// slotGate limits the requests that a backend server runs at once.
type slotGate struct {
	slots   chan struct{}
	waiting atomic.Int64
}

func newSlotGate(slots int) *slotGate {
	return &slotGate{slots: make(chan struct{}, slots)}
}

// acquire waits for a slot until the deadline (zero is none), in order of
// arrival.
func (g *slotGate) acquire(ctx context.Context, deadline time.Time) refusal {
	if ctx.Err() != nil {
		return refusalCancelled
	}
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return refusalDeadline
	}
	if g.waiting.Load() >= int64(shedQueuePerSlot*cap(g.slots)) {
		return refusalShed
	}
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case g.slots <- struct{}{}:
		return refusalNone
	case <-expired:
		return refusalDeadline
	case <-ctx.Done():
		return refusalCancelled
	}
}

func (g *slotGate) release() { <-g.slots }

func (g *slotGate) busy() int { return len(g.slots) }
