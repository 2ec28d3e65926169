package entry

import "context"

// retryCanary sends the canary to another shard after it failed on shard s. It
// does not try another replica of s: a request that crashes servers must not
// take down all replicas of a shard, and each resend must reach the same backend
// servers in the same order, whether they have crashed or are unreachable.
func (q *query) retryCanary(ctx context.Context, s *shardState) error {
	if _, ok := q.nextReplica(s); !ok {
		q.failShard(s, s.lastFailure)
	}
	return q.sendNextCanary(ctx)
}

// sendNextCanary sends the canary to another shard unless the minimum coverage
// is out of reach.
func (q *query) sendNextCanary(ctx context.Context) error {
	if q.isCoverageUnreachable() {
		return nil
	}
	if err := q.checkCrashGuard(); err != nil {
		return err
	}
	q.sendCanary(ctx)
	return nil
}

// checkCrashGuard returns a refusal if the crash guard quarantines the request,
// for example because other instances have since reported that it crashed
// backend servers.
func (q *query) checkCrashGuard() error {
	err := q.entry.config.Guard.Admit(q.fingerprint, crashLimit(q.policy), q.now())
	if err == nil {
		return nil
	}
	return crashingRefusal(q.policy, q.runRecord.statement(), err)
}
