package entry

import (
	"context"
	"time"
)

// recheckDelay is the time before an unreachable canary is asked again. It
// covers the moment between the crash of a backend server and the owner's
// notice of it, in which another send of the same request finds the server
// unreachable and would go on to crash the next one.
const recheckDelay = 10 * time.Millisecond

// recheck asks an unreachable canary's owner once more after recheckDelay: it
// then states whether this very request crashed the backend server.
func (q *query) recheck(ctx context.Context, a *attempt) {
	a.shard.rechecked = true
	time.AfterFunc(recheckDelay, func() { _ = q.deliver(ctx, event{recheck: a}) })
}

func (q *query) handleRecheck(ctx context.Context, a *attempt) error {
	if !q.held || a.shard.done || a.shard.running > 0 {
		return nil
	}
	if err := q.admit(); err != nil {
		return err
	}
	delete(a.shard.tried, a.server.ID)
	if !q.mayReceive(a.server) {
		return q.nextCanary(ctx)
	}
	q.send(ctx, []*shardState{a.shard}, false)
	return nil
}
