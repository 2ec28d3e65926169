package entry

import (
	"context"
	"time"
)

// recheckDelay is the delay before an unreachable canary is sent again. For a
// moment after a crash, the owner has not yet noticed it, and another send of
// the same request finds the backend server merely unreachable. Without the
// delay that send would move on and crash the next server.
const recheckDelay = 10 * time.Millisecond

// scheduleRecheck sends an unreachable canary to the same backend server again
// after recheckDelay. By then the owner can tell whether this request crashed
// the server.
func (q *query) scheduleRecheck(ctx context.Context, a *attempt) {
	a.shard.rechecked = true
	time.AfterFunc(recheckDelay, func() { _ = q.deliver(ctx, event{recheck: a}) })
}

func (q *query) handleRecheck(ctx context.Context, a *attempt) error {
	if !q.awaitingCanary || a.shard.done || a.shard.pending > 0 {
		return nil
	}
	if err := q.checkCrashGuard(); err != nil {
		return err
	}
	delete(a.shard.tried, a.server.ID)
	if !q.canReceive(a.server) {
		return q.sendNextCanary(ctx)
	}
	q.sendAttempts(ctx, []*shardState{a.shard}, false)
	return nil
}
