package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// errSnapshotGone ends a query whose snapshot is no longer served. The search
// then restarts on another snapshot.
var errSnapshotGone = errors.New("the pinned snapshot is no longer served")

// Waits of a query.
const (
	// retryDeadlineShare is the share of the deadline after which an attempt
	// without a result is retried, if the retry budget allows.
	retryDeadlineShare = 0.4
	// replyReserve is the part of the deadline that is reserved for writing the
	// answer.
	replyReserve = 5 * time.Millisecond
)

// query is the execution of one search on one pinned snapshot. Its fields belong
// to the goroutine that calls run; other goroutines report to it through events.
type query struct {
	entry       *Entry
	request     SearchRequest
	policy      bundle.Policy
	snapshot    snapshot.Snapshot
	fingerprint uint64
	arrived     time.Time
	deadline    time.Time
	mayRestart  bool // another restart on a different snapshot is allowed
	runRecord   *runRecord

	account        *coverage.Account
	shards         []*shardState
	byShard        map[int]*shardState
	openShards     int             // shards that have neither answered nor failed
	awaitingCanary bool            // the other shards are not sent until the canary has answered
	attempts       int32           // number of the latest attempt, across restarts
	canaryZones    map[string]bool // availability zones of the canaries sent so far
	crashes        int             // attempts that ended with a crash of the backend server
	events         chan event
	dispatches     []*dispatch
}

func newQuery(e *Entry, request SearchRequest, policy bundle.Policy, pinned snapshot.Snapshot, fingerprint uint64, arrived time.Time, record *runRecord) *query {
	q := &query{
		entry:       e,
		request:     request,
		policy:      policy,
		snapshot:    pinned,
		fingerprint: fingerprint,
		arrived:     arrived,
		deadline:    arrived.Add(policy.Deadline),
		runRecord:   record,
		attempts:    record.lastAttempt,
		account:     coverage.NewAccount(pinned),
		canaryZones: make(map[string]bool),
		byShard:     make(map[int]*shardState, len(pinned.Partitions)),
		openShards:  len(pinned.Partitions),
		events:      make(chan event, 2*len(pinned.Partitions)),
	}
	q.addShards()
	return q
}

func (q *query) addShards() {
	now := q.now()
	for _, p := range q.snapshot.Partitions {
		s := &shardState{partition: p, replicas: q.rankReplicas(p.Shard, now), tried: make(map[string]bool)}
		q.shards = append(q.shards, s)
		q.byShard[p.Shard] = s
	}
}

func (q *query) now() time.Time { return q.entry.config.Now() }

// run sends the query to the owners and handles events until every shard has
// completed, the deadline is near or the minimum coverage is out of reach.
func (q *query) run(ctx context.Context) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer q.cancelPending()
	q.sendFirst(ctx)
	err := q.handleEvents(ctx)
	if err != nil {
		return nil, err
	}
	return q.answer()
}

// handleEvents processes events and periodic checks until the query ends.
func (q *query) handleEvents(ctx context.Context) error {
	deadlineTimer := time.NewTimer(q.deadline.Sub(q.now()) - replyReserve)
	defer deadlineTimer.Stop()
	checkTimer := time.NewTimer(q.nextCheckDelay())
	defer checkTimer.Stop()
	for q.openShards > 0 {
		select {
		case ev := <-q.events:
			if err := q.handleEvent(ctx, ev); err != nil {
				return err
			}
		case <-checkTimer.C:
			if err := q.checkProgress(ctx); err != nil {
				return err
			}
			checkTimer.Reset(q.nextCheckDelay())
		case <-deadlineTimer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
		if q.isCoverageUnreachable() {
			return nil
		}
	}
	return nil
}

// isCoverageUnreachable reports whether the required coverage is out of reach.
// Further attempts would then only take slots from other requests.
func (q *query) isCoverageUnreachable() bool {
	if q.entry.config.Options.DisableSoftStop {
		return false
	}
	return q.account.Reachable() < requiredCoverage(q.policy)
}

// cancelPending cancels the streams of the query and accounts for attempts whose
// results are no longer needed.
func (q *query) cancelPending() {
	for _, d := range q.dispatches {
		d.cancel()
		for _, a := range d.attempts {
			if !a.finished {
				q.abandonAttempt(a)
			}
		}
	}
}
