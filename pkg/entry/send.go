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

// sendFirst sends the canary, or all shards if no canary is needed.
func (q *query) sendFirst(ctx context.Context) {
	if !q.needsCanary() {
		q.sendIdleShards(ctx)
		return
	}
	q.awaitingCanary = true
	q.sendCanary(ctx)
}

// needsCanary reports whether one shard must answer before the others are sent.
func (q *query) needsCanary() bool {
	return q.policy.Canary &&
		!q.entry.config.Options.DisableCanary &&
		len(q.shards) > 1 &&
		!q.entry.config.Guard.KnownToSucceed(q.fingerprint, q.now())
}

// sendCanary sends the query to one shard only. The fingerprint determines the
// shard, so that resends of a request reach the same backend servers.
func (q *query) sendCanary(ctx context.Context) {
	candidates := make([]int, 0, len(q.shards))
	for _, s := range q.shards {
		if _, ok := q.nextReplica(s); ok && !s.done && !s.usedAsCanary {
			candidates = append(candidates, s.partition.Shard)
		}
	}
	if len(candidates) == 0 {
		q.failIdleShards(coverage.ReasonNoCanary)
		return
	}
	s := q.byShard[q.entry.config.Guard.CanaryShard(q.fingerprint, candidates)]
	s.usedAsCanary = true
	q.orderCanaryReplicas(s.replicas)
	if server, ok := q.nextReplica(s); ok {
		q.canaryZones[server.Zone] = true
	}
	q.sendAttempts(ctx, []*shardState{s}, false)
}

// orderCanaryReplicas sorts replicas in availability zones without an earlier
// canary of this query first, and then by a hash of fingerprint and id. Crashes
// in a single zone may be caused by a failure of that zone and do not prove that
// the request is at fault.
func (q *query) orderCanaryReplicas(replicas []membership.BackendServer) {
	slices.SortFunc(replicas, func(a, b membership.BackendServer) int {
		if usedA, usedB := q.canaryZones[a.Zone], q.canaryZones[b.Zone]; usedA != usedB {
			if usedB {
				return -1
			}
			return 1
		}
		return cmp.Compare(q.replicaHash(a.ID), q.replicaHash(b.ID))
	})
}

// replicaHash orders the replicas in the same way on every resend of a request.
func (q *query) replicaHash(id string) uint64 {
	return xxhash.Sum64String(id) ^ q.fingerprint
}

// releaseShards starts the shards that waited for the canary.
func (q *query) releaseShards(ctx context.Context) {
	q.awaitingCanary = false
	q.sendIdleShards(ctx)
}

// sendIdleShards starts an attempt for every unfinished shard that has none in
// flight.
func (q *query) sendIdleShards(ctx context.Context) {
	idle := make([]*shardState, 0, len(q.shards))
	for _, s := range q.shards {
		if !s.done && s.pending == 0 {
			idle = append(idle, s)
		}
	}
	q.sendAttempts(ctx, idle, false)
}

// sendAttempts starts one attempt for each shard on its next replica, with one
// message per owner. A shard without another replica or owner fails.
func (q *query) sendAttempts(ctx context.Context, shards []*shardState, isHedge bool) {
	byOwner := make(map[string]*dispatch)
	now := q.now()
	for _, s := range shards {
		server, ok := q.nextReplica(s)
		if !ok {
			q.failShard(s, coverage.ReasonNoReplica)
			continue
		}
		owner, ok := q.ownerAtRank(server.ID, 0, now)
		if !ok {
			q.failShard(s, coverage.ReasonNoOwner)
			continue
		}
		d, ok := byOwner[owner.ID]
		if !ok {
			d = &dispatch{owner: owner, attempts: make(map[int32]*attempt), sent: now}
			byOwner[owner.ID] = d
		}
		q.addAttempt(d, s, server, now, isHedge)
	}
	for _, d := range byOwner {
		q.openStream(ctx, d)
	}
}

// nextReplica returns the first untried replica that may still receive requests.
// A replica may have started to drain since the query began.
func (q *query) nextReplica(s *shardState) (membership.BackendServer, bool) {
	for _, r := range s.replicas {
		if !s.tried[r.ID] && q.canReceive(r) {
			return r, true
		}
	}
	return membership.BackendServer{}, false
}

// canReceive reports whether the view still lists the backend server as a
// replica that takes requests.
func (q *query) canReceive(server membership.BackendServer) bool {
	current := q.entry.config.View.Replicas(server.Team, server.Service, server.Shard, q.now())
	return slices.ContainsFunc(current, func(r membership.BackendServer) bool { return r.ID == server.ID })
}

// ownerAtRank returns the owner of a backend server at the given rank.
func (q *query) ownerAtRank(serverID string, rank int, now time.Time) (membership.Instance, bool) {
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

func (q *query) addAttempt(d *dispatch, s *shardState, server membership.BackendServer, now time.Time, isHedge bool) {
	q.attempts++
	q.runRecord.lastAttempt = q.attempts
	a := &attempt{number: q.attempts, shard: s, server: server, dispatch: d, started: now, isHedge: isHedge}
	d.attempts[a.number] = a
	d.pending++
	s.attempts = append(s.attempts, a)
	s.tried[server.ID] = true
	s.pending++
	q.runRecord.pending++
	q.entry.config.Selector.Begin(server.ID)
}

// openStream sends the message of a dispatch to its owner and turns the reply
// stream into events.
func (q *query) openStream(ctx context.Context, d *dispatch) {
	ctx, d.cancel = context.WithCancel(ctx)
	q.dispatches = append(q.dispatches, d)
	message := q.searchRequest(d)
	go func() {
		emit := func(frame *peerpb.SearchFrame) error { return q.deliver(ctx, event{dispatch: d, frame: frame}) }
		err := q.entry.config.Owners.Search(ctx, d.owner, message, emit)
		_ = q.deliver(ctx, event{dispatch: d, err: err})
	}()
}

// deliver passes an event to the query's goroutine unless the query has ended.
func (q *query) deliver(ctx context.Context, ev event) error {
	select {
	case q.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// searchRequest builds the message of a dispatch.
func (q *query) searchRequest(d *dispatch) *peerpb.SearchRequest {
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
			Canary:          q.awaitingCanary,
		})
	}
	return message
}

// rankReplicas returns the replicas of a shard that may serve the pinned
// snapshot, best first. If all are known not to serve it, it returns all of them,
// since that knowledge may be out of date.
func (q *query) rankReplicas(shard int, now time.Time) []membership.BackendServer {
	config := q.entry.config
	all := config.View.Replicas(q.policy.Team, q.policy.Service, shard, now)
	serving := make([]membership.BackendServer, 0, len(all))
	for _, server := range all {
		if config.KnownSnapshots.Availability(server.ID, q.snapshot.Version, now) != snapshot.Absent {
			serving = append(serving, server)
		}
	}
	if len(serving) == 0 {
		serving = all
	}
	if config.Options.RandomReplica {
		return config.Selector.Shuffle(config.Selector.Order(now, serving, config.Self.Zone))
	}
	return config.Selector.Order(now, serving, config.Self.Zone)
}
