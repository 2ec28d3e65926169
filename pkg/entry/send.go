package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// start sends the canary, or all shards when no canary is needed.
func (q *query) start(ctx context.Context) {
	if !q.needsCanary() {
		q.sendOpen(ctx)
		return
	}
	q.held = true
	q.sendCanary(ctx)
}

func (q *query) needsCanary() bool {
	return q.policy.Canary &&
		!q.entry.config.Options.DisableCanary &&
		len(q.shards) > 1 &&
		!q.entry.config.Guard.KnownGood(q.fingerprint, q.now())
}

// sendCanary asks one shard that can be asked; the fingerprint decides which,
// so that resends of a request meet the same backend servers.
func (q *query) sendCanary(ctx context.Context) {
	candidates := make([]int, 0, len(q.shards))
	for _, s := range q.shards {
		if _, ok := q.next(s); ok && !s.done && !s.canary {
			candidates = append(candidates, s.partition.Shard)
		}
	}
	if len(candidates) == 0 {
		q.failOpen(coverage.ReasonNoCanary)
		return
	}
	s := q.byShard[q.entry.config.Guard.CanaryShard(q.fingerprint, candidates)]
	s.canary = true
	q.orderCanary(s.replicas)
	if server, ok := q.next(s); ok {
		q.canaryZones[server.Zone] = true
	}
	q.send(ctx, []*shardState{s}, false)
}

// orderCanary orders replicas by the fingerprint, those of availability zones
// that no earlier canary of this query was in first: crashes in one zone alone
// may be a loss of that zone and do not prove the request's fault.
func (q *query) orderCanary(replicas []membership.BackendServer) {
	slices.SortFunc(replicas, func(a, b membership.BackendServer) int {
		if known, other := q.canaryZones[a.Zone], q.canaryZones[b.Zone]; known != other {
			if other {
				return -1
			}
			return 1
		}
		return cmp.Compare(q.hash(a.ID), q.hash(b.ID))
	})
}

func (q *query) hash(id string) uint64 {
	return xxhash.Sum64String(id) ^ q.fingerprint
}

// release sends the shards that waited for the canary.
func (q *query) release(ctx context.Context) {
	q.held = false
	q.sendOpen(ctx)
}

// sendOpen sends every shard that is neither done nor running.
func (q *query) sendOpen(ctx context.Context) {
	waiting := make([]*shardState, 0, len(q.shards))
	for _, s := range q.shards {
		if !s.done && s.running == 0 {
			waiting = append(waiting, s)
		}
	}
	q.send(ctx, waiting, false)
}

// send starts one attempt for each shard on its next replica, with one message
// per owner. A shard without a replica left fails.
func (q *query) send(ctx context.Context, shards []*shardState, hedge bool) {
	groups := make(map[string]*dispatch)
	now := q.now()
	for _, s := range shards {
		server, ok := q.next(s)
		if !ok {
			q.fail(s, coverage.ReasonNoReplica)
			continue
		}
		to, ok := q.ownerOf(server.ID, 0, now)
		if !ok {
			q.fail(s, coverage.ReasonNoOwner)
			continue
		}
		d, ok := groups[to.ID]
		if !ok {
			d = &dispatch{owner: to, attempts: make(map[int32]*attempt), sent: now}
			groups[to.ID] = d
		}
		q.addAttempt(d, s, server, now, hedge)
	}
	for _, d := range groups {
		q.launch(ctx, d)
	}
}

// next returns the first replica that was not tried and may still receive
// requests: it may have started to leave since the query began.
func (q *query) next(s *shardState) (membership.BackendServer, bool) {
	for _, r := range s.replicas {
		if !s.tried[r.ID] && q.mayReceive(r) {
			return r, true
		}
	}
	return membership.BackendServer{}, false
}

func (q *query) mayReceive(server membership.BackendServer) bool {
	current := q.entry.config.View.Replicas(server.Team, server.Service, server.Shard, q.now())
	return slices.ContainsFunc(current, func(r membership.BackendServer) bool { return r.ID == server.ID })
}

// ownerOf returns the owner of a backend server at a rank.
func (q *query) ownerOf(serverID string, rank int, now time.Time) (membership.Instance, bool) {
	config := q.entry.config
	if config.Options.DirectFanOut {
		return config.Self, rank == 0
	}
	owners := config.View.Owners(serverID, now)
	if rank >= len(owners) {
		return membership.Instance{}, false
	}
	return owners[rank], true
}

func (q *query) addAttempt(d *dispatch, s *shardState, server membership.BackendServer, now time.Time, hedge bool) {
	q.attempts++
	q.record.attempts = q.attempts
	a := &attempt{number: q.attempts, shard: s, server: server, dispatch: d, started: now, hedge: hedge}
	d.attempts[a.number] = a
	d.pending++
	s.attempts = append(s.attempts, a)
	s.tried[server.ID] = true
	s.running++
	q.record.inFlight++
	q.entry.config.Selector.Begin(server.ID)
}

// launch opens the stream to the owner.
func (q *query) launch(ctx context.Context, d *dispatch) {
	ctx, d.cancel = context.WithCancel(ctx)
	q.sent = append(q.sent, d)
	message := q.message(d)
	go func() {
		emit := func(frame *peerpb.SearchFrame) error { return q.deliver(ctx, event{dispatch: d, frame: frame}) }
		err := q.entry.config.Owners.Search(ctx, d.owner, message, emit)
		_ = q.deliver(ctx, event{dispatch: d, err: err})
	}()
}

// deliver hands an event to the query's goroutine unless the query has ended.
func (q *query) deliver(ctx context.Context, ev event) error {
	select {
	case q.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (q *query) message(d *dispatch) *peerpb.SearchRequest {
	now := q.now()
	message := &peerpb.SearchRequest{
		Sender:      q.entry.config.Control.Sender(),
		RequestId:   q.request.RequestID,
		Team:        q.policy.Team,
		Service:     q.policy.Service,
		Snapshot:    q.snapshot.Version,
		Priority:    int32(q.policy.Priority),
		AgeUs:       now.Sub(q.arrived).Microseconds(),
		TimeoutMs:   (q.deadline.Sub(now) - replyReserve).Milliseconds(),
		Query:       q.request.Query,
		Limit:       int32(q.request.Limit),
		Fingerprint: q.fingerprint,
		Slots:       int32(q.policy.Slots),
		Connections: int32(q.policy.Connections),
		CrashLimit:  int32(crashLimit(q.policy)),
	}
	for _, a := range d.attempts {
		message.Attempts = append(message.Attempts, &peerpb.ShardAttempt{
			Shard:           int32(a.shard.partition.Shard),
			Attempt:         a.number,
			BackendServerId: a.server.ID,
			From:            a.shard.partition.From,
			To:              a.shard.partition.To,
			Documents:       a.shard.partition.Documents,
			Canary:          q.held,
		})
	}
	return message
}

// replicas returns the replicas of a shard that may serve the pinned snapshot,
// best first. When none is known to, all are asked: what they stated last may
// be out of date.
func (q *query) replicas(shard int, now time.Time) []membership.BackendServer {
	config := q.entry.config
	all := config.View.Replicas(q.policy.Team, q.policy.Service, shard, now)
	able := make([]membership.BackendServer, 0, len(all))
	for _, server := range all {
		if config.Served.Knows(server.ID, q.snapshot.Version, now) != snapshot.Absent {
			able = append(able, server)
		}
	}
	if len(able) == 0 {
		able = all
	}
	if config.Options.RandomReplica {
		return config.Selector.Shuffle(config.Selector.Order(now, able, config.Self.Zone))
	}
	return config.Selector.Order(now, able, config.Self.Zone)
}
