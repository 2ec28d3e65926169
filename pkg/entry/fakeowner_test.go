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

// fault is what an owner does wrong with one attempt, or "" for nothing. The
// names of peerpb.ResultStatus are refusals and failures.
type fault string

const (
	right         fault = ""
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

// notRun are the faults that prove that the backend server ran nothing.
var notRun = []fault{"SHED", "DRAINING", "SNAPSHOT_GONE", "DEADLINE", "UNREACHABLE", "COLD"}

// fakeOwners is the owner role of all instances, as one entry reaches it.
type fakeOwners struct {
	*world
	entry string
}

// choose draws a fault by a hash, so that it does not depend on the order in
// which goroutines run.
func (w *world) choose(of ...any) fault {
	if len(w.faults) == 0 {
		return right
	}
	return w.faults[w.hash(of...)%uint64(len(w.faults))]
}

func (w *world) hash(of ...any) uint64 { return xxhash.Sum64String(fmt.Sprint(w.seed, of)) }

// Search implements OwnerClient.
func (f *fakeOwners) Search(ctx context.Context, to membership.Instance, request *peerpb.SearchRequest, emit owner.Emit) error {
	if ctx.Err() != nil {
		return ctx.Err() // not sent
	}
	asked, isPaused, stream := f.record(to, request)
	defer f.close(stream)
	whole := f.choose("message", to.ID, request.RequestId, asked[0].Attempt)
	switch {
	case whole == unreachable:
		return errors.New("connection refused")
	case whole == paused, isPaused:
		<-ctx.Done()
		return ctx.Err()
	}
	if err := emit(&peerpb.SearchFrame{RequestId: request.RequestId}); err != nil {
		return err
	}
	// At most one frame per millisecond holds all results of that time.
	byTime := map[time.Duration][]*askedAttempt{}
	for _, a := range asked {
		delay := time.Duration(3+f.hash("delay", a.request, a.Attempt)%9) * time.Millisecond
		if f.faultOf(a) == slow {
			delay += time.Duration(f.hash("slow", a.request, a.Attempt)%250) * time.Millisecond
		}
		byTime[delay] = append(byTime[delay], a)
	}
	isSilent := slices.ContainsFunc(asked, func(a *askedAttempt) bool { return f.faultOf(a) == silent })
	for ms := time.Duration(0); ms < 300 && (isSilent || len(byTime) > 0); ms++ {
		if err := f.reply(ctx, request, byTime[ms*time.Millisecond], whole, emit); err != nil {
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

func (w *world) close(stream int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.open[stream] {
		if a.over.IsZero() {
			a.over = time.Now()
		}
	}
	delete(w.open, stream)
}

func (w *world) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *world) faultOf(a *askedAttempt) fault {
	if w.script != nil {
		return w.script(a)
	}
	return w.choose(a.request, a.Attempt, a.BackendServerId)
}

func (f *fakeOwners) record(to membership.Instance, request *peerpb.SearchRequest) (asked []*askedAttempt, isPaused bool, stream int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range request.Attempts {
		got := &askedAttempt{ShardAttempt: a, request: request.RequestId, owner: to.ID, snapshot: request.Snapshot, at: time.Now()}
		asked = append(asked, got)
		replicas := f.views[f.entry].Replicas("team", "service", int(a.Shard), time.Now())
		listed := slices.ContainsFunc(replicas, func(b membership.BackendServer) bool { return b.ID == a.BackendServerId })
		if !listed && time.Now().After(f.drained[a.BackendServerId]) { // not at the same instant
			f.excluded = append(f.excluded, a.BackendServerId)
		}
	}
	slices.SortFunc(asked, func(a, b *askedAttempt) int { return int(a.Attempt - b.Attempt) })
	f.asked[request.RequestId] = append(f.asked[request.RequestId], asked...)
	f.calls[to.ID]++
	f.streams++
	f.open[f.streams] = asked
	return asked, f.pauses[to.ID], f.streams
}

// reply sends the results that are due at one time.
func (f *fakeOwners) reply(ctx context.Context, request *peerpb.SearchRequest, due []*askedAttempt, whole fault, emit owner.Emit) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	good := &peerpb.SearchFrame{RequestId: request.RequestId}
	var sent []*askedAttempt
	for _, a := range due {
		result, hits := f.result(request, a)
		frame := &peerpb.SearchFrame{RequestId: request.RequestId, Results: []*peerpb.ShardResult{result}, Hits: hits}
		switch f.faultOf(a) {
		case silent:
			continue
		case right, slow:
			good.Results = append(good.Results, result)
			good.Hits = append(good.Hits, hits...)
			sent = append(sent, a)
			continue
		case wrongRequest:
			frame.RequestId = "other"
		}
		if err := f.state(emit, frame, a); err != nil {
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
	if whole == truncated && len(due) > 0 {
		return io.ErrUnexpectedEOF
	}
	if len(good.Results) == 0 {
		return nil
	}
	slices.SortFunc(good.Hits, owner.CompareHits)
	good.Hits = good.Hits[:min(len(good.Hits), int(request.Limit))]
	return f.state(emit, good, sent...)
}

// state sends a frame and records what it tells the entry about the attempts.
func (w *world) state(emit owner.Emit, frame *peerpb.SearchFrame, attempts ...*askedAttempt) error {
	w.update(func() {
		for i, a := range attempts {
			a.run, a.over = frame.Results[i].Run, time.Now()
			a.right = frame.Results[i].Status == peerpb.ResultStatus_OK && slices.Contains([]fault{right, slow, duplicate, paused, unreachable, truncated}, w.faultOf(a))
			if frame.Results[i].Draining && w.drained[a.BackendServerId].IsZero() {
				w.drained[a.BackendServerId] = time.Now()
			}
		}
	})
	err := emit(frame)
	if err == nil {
		return nil
	}
	w.update(func() {
		for _, a := range attempts {
			a.run = peerpb.RunState_RUN_STATE_UNKNOWN
		}
	})
	return err
}

// result is what the owner states about an attempt.
func (f *fakeOwners) result(request *peerpb.SearchRequest, a *askedAttempt) (*peerpb.ShardResult, []*peerpb.Hit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &peerpb.ShardResult{Shard: a.Shard, Attempt: a.Attempt, BackendServerId: a.BackendServerId, Snapshots: f.serves[a.BackendServerId]}
	named := f.faultOf(a)
	if named == duplicate && f.hash("refused", a.request, a.Attempt)%2 == 0 {
		named = "SHED"
	}
	status, isStatus := peerpb.ResultStatus_value[string(named)]
	if !isStatus && !slices.Contains(r.Snapshots, request.Snapshot) {
		status, isStatus = int32(peerpb.ResultStatus_SNAPSHOT_GONE), true
	}
	if isStatus {
		r.Status = peerpb.ResultStatus(status)
		if slices.Contains(notRun, fault(r.Status.String())) && f.hash("run", a.request, a.Attempt)%4 > 0 {
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
		r.Shard = (r.Shard + 1) % worldShards
	}
	p := f.index[r.Snapshot].Partitions[r.Shard]
	hits := documents(r.Snapshot, p)
	if spoil(r, p, f.faultOf(a)) {
		hits = nil // the reply is not about what was asked
	}
	return r, hits[:min(len(hits), int(request.Limit))]
}

func spoil(r *peerpb.ShardResult, p snapshot.Partition, how fault) bool {
	r.From, r.To, r.Documents = p.From, p.To, p.Documents
	switch how {
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
