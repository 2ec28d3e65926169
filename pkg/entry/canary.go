package entry

import "context"

// retryCanary asks another shard first. It does not ask another replica of the
// same shard: a request that crashes servers must not take down a whole shard,
// and every resend has to meet the same backend servers in the same order,
// whether it finds them crashed or unreachable.
func (q *query) retryCanary(ctx context.Context, s *shardState) error {
	if _, ok := q.next(s); !ok {
		q.fail(s, s.lastError)
	}
	return q.nextCanary(ctx)
}

// nextCanary asks another shard first, unless the query ends anyway.
func (q *query) nextCanary(ctx context.Context) error {
	if q.hopeless() {
		return nil
	}
	if err := q.admit(); err != nil {
		return err
	}
	q.sendCanary(ctx)
	return nil
}

// admit refuses a request that other instances have meanwhile reported to crash
// backend servers.
func (q *query) admit() error {
	err := q.entry.config.Guard.Admit(q.fingerprint, crashLimit(q.policy), q.now())
	if err == nil {
		return nil
	}
	return refuseCrashing(q.policy, q.record.statement(), err)
}
