package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/owner"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// fault is what a fake owner does wrong with one attempt, or with a message. A
// fault that is the name of a peerpb.ResultStatus makes the owner reply with
// that status.
type fault string

const (
	noFault       fault = ""
	slow          fault = "slow"
	silent        fault = "silent"
	paused        fault = "paused" // the owner does not acknowledge the message
	unreachable   fault = "owner unreachable"
	truncated     fault = "truncated"
	otherSnapshot fault = "other snapshot"
	wrongRange    fault = "wrong range"
	wrongCount    fault = "wrong count"
	wrongRequest  fault = "wrong request"
	wrongAttempt  fault = "wrong attempt"
	wrongShard    fault = "wrong shard"
	wrongServer   fault = "wrong server"
	duplicate     fault = "duplicate"
)

var allFaults = []fault{slow, silent, paused, unreachable, truncated, otherSnapshot, wrongRange, wrongCount, wrongRequest,
	wrongAttempt, wrongShard, wrongServer, duplicate, "SHED", "DRAINING", "SNAPSHOT_GONE", "CRASHED", "DEADLINE",
	"UNREACHABLE", "INVALID_REPLY", "COLD"}

// notRunFaults are the statuses with which an owner may state that the backend
// server did not run the attempt.
var notRunFaults = []fault{"SHED", "DRAINING", "SNAPSHOT_GONE", "DEADLINE", "UNREACHABLE", "COLD"}

// fakeOwners plays the owner role of all instances towards one entry.
type fakeOwners struct {
	*cluster
	entryID string
}

// chooseFault picks a fault by a hash of the key, so that the choice does not
// depend on the order in which goroutines run.
func (c *cluster) chooseFault(key ...any) fault {
	if len(c.faults) == 0 {
		return noFault
	}
	return c.faults[c.hash(key...)%uint64(len(c.faults))]
}

func (c *cluster) hash(key ...any) uint64 { return xxhash.Sum64String(fmt.Sprint(c.seed, key)) }

// Search implements OwnerClient.
func (f *fakeOwners) Search(ctx context.Context, to membership.Instance, request *peerpb.SearchRequest, emit owner.Emit) error {
	if ctx.Err() != nil {
		return ctx.Err() // the message is not sent
	}
	received, isPaused, stream := f.record(to, request)
	defer f.endStream(stream)
	messageFault := f.chooseFault("message", to.ID, request.RequestId, received[0].Attempt)
	switch {
	case messageFault == unreachable:
		return errors.New("connection refused")
	case messageFault == paused, isPaused:
		<-ctx.Done()
		return ctx.Err()
	}
	if err := emit(&peerpb.SearchFrame{RequestId: request.RequestId}); err != nil {
		return err
	}
	// All results that are due in the same millisecond share a frame.
	byTime := map[time.Duration][]*receivedAttempt{}
	for _, a := range received {
		delay := time.Duration(3+f.hash("delay", a.request, a.Attempt)%9) * time.Millisecond
		if f.faultOf(a) == slow {
			delay += time.Duration(f.hash("slow", a.request, a.Attempt)%250) * time.Millisecond
		}
		byTime[delay] = append(byTime[delay], a)
	}
	isSilent := slices.ContainsFunc(received, func(a *receivedAttempt) bool { return f.faultOf(a) == silent })
	for ms := time.Duration(0); ms < 300 && (isSilent || len(byTime) > 0); ms++ {
		if err := f.reply(ctx, request, byTime[ms*time.Millisecond], messageFault, emit); err != nil {
			return err
		}
		delete(byTime, ms*time.Millisecond)
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
		}
	}
	return emit(&peerpb.SearchFrame{RequestId: request.RequestId, Last: true})
}

// endStream records the end of a stream for its unanswered attempts.
func (c *cluster) endStream(stream int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.openStreams[stream] {
		if a.endedAt.IsZero() {
			a.endedAt = time.Now()
		}
	}
	delete(c.openStreams, stream)
}

func (c *cluster) withLock(action func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	action()
}

// faultOf returns the fault of an attempt.
func (c *cluster) faultOf(a *receivedAttempt) fault {
	if c.faultFor != nil {
		return c.faultFor(a)
	}
	return c.chooseFault(a.request, a.Attempt, a.BackendServerId)
}

// record stores the attempts of a message and returns them in the order of their
// numbers, whether the owner is paused, and the number of the new stream.
func (f *fakeOwners) record(to membership.Instance, request *peerpb.SearchRequest) (received []*receivedAttempt, isPaused bool, stream int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range request.Attempts {
		attempt := &receivedAttempt{ShardAttempt: a, request: request.RequestId, owner: to.ID, snapshot: request.Snapshot, receivedAt: time.Now()}
		received = append(received, attempt)
		replicas := f.views[f.entryID].Replicas("team", "service", int(a.Shard), time.Now())
		listed := slices.ContainsFunc(replicas, func(b membership.BackendServer) bool { return b.ID == a.BackendServerId })
		if !listed && time.Now().After(f.drainReported[a.BackendServerId]) { // the report may have come at this same instant
			f.excludedServers = append(f.excludedServers, a.BackendServerId)
		}
	}
	slices.SortFunc(received, func(a, b *receivedAttempt) int { return int(a.Attempt - b.Attempt) })
	f.received[request.RequestId] = append(f.received[request.RequestId], received...)
	f.messageCounts[to.ID]++
	f.streamCount++
	f.openStreams[f.streamCount] = received
	return received, f.pausedOwners[to.ID], f.streamCount
}

// reply sends the results that are due at one time.
func (f *fakeOwners) reply(ctx context.Context, request *peerpb.SearchRequest, due []*receivedAttempt, messageFault fault, emit owner.Emit) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	correct := &peerpb.SearchFrame{RequestId: request.RequestId}
	var answered []*receivedAttempt
	for _, a := range due {
		result, hits := f.result(request, a)
		frame := &peerpb.SearchFrame{RequestId: request.RequestId, Results: []*peerpb.ShardResult{result}, Hits: hits}
		switch f.faultOf(a) {
		case silent:
			continue
		case noFault, slow:
			correct.Results = append(correct.Results, result)
			correct.Hits = append(correct.Hits, hits...)
			answered = append(answered, a)
			continue
		case wrongRequest:
			frame.RequestId = "other"
		}
		if err := f.deliver(emit, frame, a); err != nil {
			return err
		}
		if f.faultOf(a) == duplicate {
			time.Sleep(time.Millisecond)
			frame = &peerpb.SearchFrame{RequestId: request.RequestId, Results: []*peerpb.ShardResult{result, result}, Hits: hits}
			if err := emit(frame); err != nil {
				return err
			}
		}
	}
	if messageFault == truncated && len(due) > 0 {
		return io.ErrUnexpectedEOF
	}
	if len(correct.Results) == 0 {
		return nil
	}
	slices.SortFunc(correct.Hits, owner.CompareHits)
	correct.Hits = correct.Hits[:min(len(correct.Hits), int(request.Limit))]
	return f.deliver(emit, correct, answered...)
}

// deliver sends a frame and records what it states about the attempts. If the
// entry does not receive the frame, the run state of the attempts is unknown to
// it.
func (c *cluster) deliver(emit owner.Emit, frame *peerpb.SearchFrame, attempts ...*receivedAttempt) error {
	c.withLock(func() {
		for i, a := range attempts {
			a.run, a.endedAt = frame.Results[i].Run, time.Now()
			a.answered = frame.Results[i].Status == peerpb.ResultStatus_OK && slices.Contains([]fault{noFault, slow, duplicate, paused, unreachable, truncated}, c.faultOf(a))
			if frame.Results[i].Draining && c.drainReported[a.BackendServerId].IsZero() {
				c.drainReported[a.BackendServerId] = time.Now()
			}
		}
	})
	err := emit(frame)
	if err == nil {
		return nil
	}
	c.withLock(func() {
		for _, a := range attempts {
			a.run = peerpb.RunState_RUN_STATE_UNKNOWN
		}
	})
	return err
}

// result returns the result and the hits with which the owner answers an attempt.
func (f *fakeOwners) result(request *peerpb.SearchRequest, a *receivedAttempt) (*peerpb.ShardResult, []*peerpb.Hit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &peerpb.ShardResult{Shard: a.Shard, Attempt: a.Attempt, BackendServerId: a.BackendServerId, Snapshots: f.servedSnapshots[a.BackendServerId]}
	chosen := f.faultOf(a)
	if chosen == duplicate && f.hash("refused", a.request, a.Attempt)%2 == 0 {
		chosen = "SHED"
	}
	status, isStatus := peerpb.ResultStatus_value[string(chosen)]
	if !isStatus && !slices.Contains(r.Snapshots, request.Snapshot) {
		status, isStatus = int32(peerpb.ResultStatus_SNAPSHOT_GONE), true
	}
	if isStatus {
		r.Status = peerpb.ResultStatus(status)
		if slices.Contains(notRunFaults, fault(r.Status.String())) && f.hash("run", a.request, a.Attempt)%4 > 0 {
			r.Run = peerpb.RunState_RUN_STATE_NOT_RUN
		}
		r.Draining = r.Status == peerpb.ResultStatus_DRAINING
		return r, nil
	}
	r.Status, r.Run, r.Snapshot = peerpb.ResultStatus_OK, peerpb.RunState_RUN_STATE_RUN, request.Snapshot
	if f.faultOf(a) == otherSnapshot {
		r.Snapshot = 1 + request.Snapshot%3
	}
	if f.faultOf(a) == wrongShard {
		r.Shard = (r.Shard + 1) % numShards
	}
	p := f.snapshots[r.Snapshot].Partitions[r.Shard]
	hits := documents(r.Snapshot, p)
	if corrupt(r, p, f.faultOf(a)) {
		hits = nil // the reply does not match the attempt
	}
	return r, hits[:min(len(hits), int(request.Limit))]
}

// corrupt applies a fault to a result and reports whether its hits must be
// dropped.
func corrupt(r *peerpb.ShardResult, p snapshot.Partition, kind fault) bool {
	r.From, r.To, r.Documents = p.From, p.To, p.Documents
	switch kind {
	case wrongRange:
		r.To += "x"
	case wrongCount:
		r.Documents--
	case wrongAttempt:
		r.Attempt += 100
	case wrongServer:
		r.BackendServerId += "x"
	case wrongRequest:
	default:
		return false
	}
	return true
}
