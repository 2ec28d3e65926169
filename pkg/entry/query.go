package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// errSnapshotGone ends a query whose snapshot is no longer served, so that it
// can restart on another one.
var errSnapshotGone = errors.New("the pinned snapshot is no longer served")

// Waits of a query.
const (
	// attemptShare is the share of the deadline after which an attempt without
	// a result is retried within the retry budget.
	attemptShare = 0.4
	// replyReserve is kept back from the deadline to write the answer.
	replyReserve = 5 * time.Millisecond
)

// query is one search on one pinned snapshot. Its fields belong to the
// goroutine that calls run; streams of owners report through events.
type query struct {
	entry       *Entry
	request     SearchRequest
	policy      bundle.Policy
	snapshot    snapshot.Snapshot
	fingerprint uint64
	arrived     time.Time
	deadline    time.Time
	mayRestart  bool
	record      *runRecord

	account     *coverage.Account
	shards      []*shardState
	byShard     map[int]*shardState
	open        int // shards not done
	held        bool
	attempts    int32
	canaryZones map[string]bool // of canaries asked
	crashes     int
	events      chan event
	sent        []*dispatch
}

func newQuery(e *Entry, request SearchRequest, policy bundle.Policy, pinned snapshot.Snapshot, fingerprint uint64, arrived time.Time, run *runRecord) *query {
	q := &query{
		entry:       e,
		request:     request,
		policy:      policy,
		snapshot:    pinned,
		fingerprint: fingerprint,
		arrived:     arrived,
		deadline:    arrived.Add(policy.Deadline),
		record:      run,
		attempts:    run.attempts,
		account:     coverage.NewAccount(pinned),
		canaryZones: make(map[string]bool),
		byShard:     make(map[int]*shardState, len(pinned.Partitions)),
		open:        len(pinned.Partitions),
		events:      make(chan event, 2*len(pinned.Partitions)),
	}
	q.addShards()
	return q
}

func (q *query) addShards() {
	now := q.now()
	for _, p := range q.snapshot.Partitions {
		s := &shardState{partition: p, replicas: q.replicas(p.Shard, now), tried: make(map[string]bool)}
		q.shards = append(q.shards, s)
		q.byShard[p.Shard] = s
	}
}

func (q *query) now() time.Time { return q.entry.config.Now() }

// run sends the query to the owners and collects results until every shard is
// done, the deadline is near or the minimum coverage is out of reach.
func (q *query) run(ctx context.Context) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer q.abandon()
	q.start(ctx)
	err := q.collect(ctx)
	if err != nil {
		return nil, err
	}
	return q.answer()
}

// collect handles events until the query ends.
func (q *query) collect(ctx context.Context) error {
	end := time.NewTimer(q.deadline.Sub(q.now()) - replyReserve)
	defer end.Stop()
	check := time.NewTimer(q.nextCheck())
	defer check.Stop()
	for q.open > 0 {
		select {
		case ev := <-q.events:
			if err := q.handle(ctx, ev); err != nil {
				return err
			}
		case <-check.C:
			if err := q.check(ctx); err != nil {
				return err
			}
			check.Reset(q.nextCheck())
		case <-end.C:
			return nil
		case <-ctx.Done():
			return nil
		}
		if q.hopeless() {
			return nil
		}
	}
	return nil
}

// hopeless reports that the minimum coverage can no longer be reached, so that
// further attempts would only take slots from other requests.
func (q *query) hopeless() bool {
	if q.entry.config.Options.DisableSoftStop {
		return false
	}
	return q.account.Reachable() < leastCoverage(q.policy)
}

// abandon settles the books for attempts whose result nobody waits for.
func (q *query) abandon() {
	for _, d := range q.sent {
		d.cancel()
		for _, a := range d.attempts {
			if !a.finished {
				q.forget(a)
			}
		}
	}
}
