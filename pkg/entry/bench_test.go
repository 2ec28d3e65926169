package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/capacity"
	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/owner"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/selection"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

const (
	benchLimit        = 50
	benchHitsPerShard = 10
	benchDocuments    = 1000
)

// benchControl is a control plane whose documents are always fresh.
type benchControl struct{}

func (benchControl) EnsureFresh(context.Context) bool                   { return false }
func (benchControl) Bundle() (*bundle.Verified, bool)                   { return nil, false }
func (benchControl) Manifest(string, string) (*snapshot.Manifest, bool) { return nil, false }
func (benchControl) RefreshManifest(context.Context, string, string)    {}
func (benchControl) Sender() *peerpb.Sender                             { return &peerpb.Sender{InstanceId: "i0"} }
func (benchControl) ObserveSender(*peerpb.Sender)                       {}

type benchMetrics struct{}

func (benchMetrics) Count(string, int64)           {}
func (benchMetrics) Observe(string, time.Duration) {}

// benchOwners replies at once and without a network. An owner sends all results
// in one frame if batched is set, and otherwise each in its own frame.
type benchOwners struct {
	batched bool
	hits    [][]*peerpb.Hit
}

func (o benchOwners) Search(_ context.Context, _ membership.Instance, r *peerpb.SearchRequest, emit owner.Emit) error {
	if err := emit(&peerpb.SearchFrame{RequestId: r.RequestId}); err != nil {
		return err
	}
	frame := &peerpb.SearchFrame{RequestId: r.RequestId}
	for i, a := range r.Attempts {
		o.addReply(frame, a, r.Snapshot)
		frame.Last = i == len(r.Attempts)-1
		if o.batched && !frame.Last {
			continue
		}
		frame.Hits = frame.Hits[:min(len(frame.Hits), benchLimit)]
		if err := emit(frame); err != nil {
			return err
		}
		frame = &peerpb.SearchFrame{RequestId: r.RequestId}
	}
	return nil
}

func (o benchOwners) addReply(frame *peerpb.SearchFrame, a *peerpb.ShardAttempt, version int64) {
	frame.Results = append(frame.Results, &peerpb.ShardResult{
		Shard: a.Shard, Attempt: a.Attempt, BackendServerId: a.BackendServerId,
		Status: peerpb.ResultStatus_OK, Run: peerpb.RunState_RUN_STATE_RUN,
		From: a.From, To: a.To, Documents: a.Documents, Snapshot: version,
	})
	frame.Hits = append(frame.Hits, o.hits[a.Shard]...)
}

// benchHits builds the hits of each shard in advance, so that building them is
// not measured.
func benchHits(shards int) [][]*peerpb.Hit {
	hits := make([][]*peerpb.Hit, shards)
	for shard := range hits {
		for i := range benchHitsPerShard {
			key := fmt.Sprintf("%06d-%02d", shard, i)
			hits[shard] = append(hits[shard], &peerpb.Hit{Shard: int32(shard), Key: key, Score: 1 / float64(i+1), Document: key})
		}
	}
	return hits
}

// newBenchEntry returns an entry and a snapshot with two replicas per shard.
// Each instance has an availability zone of its own, so that exactly the given
// number of instances own the shards.
func newBenchEntry(shards, owners int, batched bool) (*Entry, snapshot.Snapshot) {
	var members membership.Members
	for i := range owners {
		members.Instances = append(members.Instances, membership.Instance{
			ID: fmt.Sprintf("i%d", i), Zone: fmt.Sprintf("z%d", i), Address: "a", State: membership.StateLive,
		})
	}
	pinned := snapshot.Snapshot{Version: 1}
	for i := range shards {
		pinned.Partitions = append(pinned.Partitions, snapshot.Partition{
			Shard: i, From: fmt.Sprintf("%06d", i), To: fmt.Sprintf("%06d", i+1), Documents: benchDocuments,
		})
		for replica := range 2 {
			members.BackendServers = append(members.BackendServers, membership.BackendServer{
				ID: fmt.Sprintf("s%d-%d", i, replica), Team: "t", Service: "s", Shard: i, Replica: replica,
				Zone: fmt.Sprintf("z%d", i%owners), Address: "b", State: membership.StateLive,
			})
		}
	}
	view := membership.NewView("i0", "z0")
	view.Apply(members, 1)
	return New(Config{
		Self: members.Instances[0], View: view, Control: benchControl{}, Owners: benchOwners{batched, benchHits(shards)},
		Selector: selection.New(selection.Config{}, rand.New(rand.NewPCG(1, 1))),
		Guard:    crashguard.New(), KnownSnapshots: snapshot.NewKnownSnapshots(), Metrics: benchMetrics{},
		Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	}), pinned
}

// benchQuery measures whole queries, from the pinned snapshot to the answer.
func benchQuery(b *testing.B, shards, owners int, batched bool) {
	e, pinned := newBenchEntry(shards, owners, batched)
	policy := bundle.Policy{Team: "t", Service: "s", Kind: bundle.KindSearch, Deadline: time.Minute, MinCoverage: 1}
	request := SearchRequest{RequestID: "r", Team: "t", Service: "s", Query: "q", Limit: benchLimit}
	b.ReportAllocs()
	defer capacity.MeasureCPU(b)()
	for b.Loop() {
		answer, err := newQuery(e, request, policy, pinned, 1, time.Now(), &runRecord{}).run(b.Context())
		if err != nil || !answer.Coverage.Complete {
			b.Fatal(err, answer)
		}
	}
}

// BenchmarkMerge runs a query over a growing number of shards with 8 owners.
// Each owner sends either one frame per result or one frame with all results.
func BenchmarkMerge(b *testing.B) {
	for _, shards := range []int{40, 160, 640, 1300} {
		for _, batched := range []bool{false, true} {
			b.Run(fmt.Sprintf("batched=%v/shards=%d", batched, shards), func(b *testing.B) {
				benchQuery(b, shards, 8, batched)
			})
		}
	}
}

// BenchmarkFanOut runs a query over 320 shards with a growing number of owners.
func BenchmarkFanOut(b *testing.B) {
	for _, owners := range []int{1, 10, 40, 160, 320} {
		b.Run(fmt.Sprintf("owners=%d", owners), func(b *testing.B) { benchQuery(b, 320, owners, true) })
	}
}
