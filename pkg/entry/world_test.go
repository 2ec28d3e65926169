package entry

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/selection"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// Size of the world.
const (
	worldShards    = 5
	worldReplicas  = 2
	worldInstances = 4
	worldDocuments = 40
	worldLimit     = 12
	worldRanks     = 3 // owners of a backend server
)

// world holds the truth about indexes and backend servers, and what the fake
// owners were asked. It runs in a synctest bubble, so time is virtual.
type world struct {
	seed    uint64
	faults  []fault                   // drawn from for each attempt
	script  func(*askedAttempt) fault // replaces the draw when set
	canary  time.Duration
	verdict *bundle.Verified

	mu       sync.Mutex // guards everything below
	index    map[int64]snapshot.Snapshot
	serves   map[string][]int64 // snapshots by backend server
	manifest *snapshot.Manifest
	begins   map[string]time.Time    // of queries
	ends     map[string]time.Time    // of queries
	open     map[int][]*askedAttempt // running streams, by number
	streams  int
	counts   map[string]int64 // metrics
	asked    map[string][]*askedAttempt
	calls    map[string]int               // search messages, by owner
	guards   map[string]*crashguard.Guard // by instance
	drained  map[string]time.Time         // when an owner reported it
	pauses   map[string]bool              // owners that do not react
	views    map[string]*membership.View  // of entries, by instance
	excluded []string                     // attempts on backend servers that the view excludes
}

// askedAttempt is one attempt as an owner received it.
type askedAttempt struct {
	*peerpb.ShardAttempt
	request  string
	owner    string
	snapshot int64
	at       time.Time
	run      peerpb.RunState // as delivered to the entry
	right    bool            // answered as asked
	over     time.Time       // answered, or its stream ended
}

func newWorld(seed uint64, faults ...fault) *world {
	w := &world{
		seed: seed, faults: faults, index: map[int64]snapshot.Snapshot{}, serves: map[string][]int64{},
		counts: map[string]int64{}, asked: map[string][]*askedAttempt{}, calls: map[string]int{},
		guards: map[string]*crashguard.Guard{}, pauses: map[string]bool{}, views: map[string]*membership.View{},
		drained: map[string]time.Time{}, begins: map[string]time.Time{}, ends: map[string]time.Time{},
		open: map[int][]*askedAttempt{},
	}
	for version := int64(1); version <= 3; version++ {
		w.index[version] = partitioned(version)
	}
	w.manifest = &snapshot.Manifest{Snapshots: []snapshot.Snapshot{w.index[1]}}
	for _, server := range w.members().BackendServers {
		w.serves[server.ID] = []int64{1}
	}
	return w
}

// partitioned places the boundaries of each version elsewhere, but for the first
// two shards, whose replies only differ in their snapshot.
func partitioned(version int64) snapshot.Snapshot {
	s := snapshot.Snapshot{Version: version}
	from := 0
	for shard := range worldShards {
		to := (shard + 1) * worldDocuments / worldShards
		if shard > 1 {
			to -= int(version-1) * (shard%2 + 1)
		}
		p := snapshot.Partition{Shard: shard, From: key(from), To: key(to), Documents: int64(to - from)}
		if shard == worldShards-1 {
			p.To, p.Documents = "", int64(worldDocuments-from)
		}
		s.Partitions = append(s.Partitions, p)
		from = to
	}
	return s
}

func key(n int) string { return fmt.Sprintf("k%03d", n) }

// documents returns the hits of a partition; scores differ between versions, so
// that a mixed answer shows.
func documents(version int64, p snapshot.Partition) []*peerpb.Hit {
	var hits []*peerpb.Hit
	for n := range worldDocuments {
		if k := key(n); p.Contains(k) {
			score := float64(xxhash.Sum64String(fmt.Sprint(version, k)) % 50)
			hits = append(hits, &peerpb.Hit{Shard: int32(p.Shard), Key: k, Score: score, Document: fmt.Sprintf("v%d/%s", version, k)})
		}
	}
	return hits
}

func (w *world) members() membership.Members {
	var m membership.Members
	for n := range worldInstances {
		m.Instances = append(m.Instances, membership.Instance{ID: fmt.Sprint("i", n), Zone: fmt.Sprint("z", n%2), State: membership.StateLive})
	}
	for shard := range worldShards {
		for replica := range worldReplicas {
			m.BackendServers = append(m.BackendServers, membership.BackendServer{
				ID: fmt.Sprintf("b%d-%d", shard, replica), Team: "team", Service: "service", Shard: shard, Replica: replica,
				Zone: fmt.Sprint("z", replica), State: membership.StateLive,
			})
		}
	}
	return m
}

// entry starts the entry role of an instance.
func (w *world) entry(id string) *Entry {
	view := membership.NewView(id, "z0")
	view.Apply(w.members(), 1)
	guard := crashguard.New()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.guards[id], w.views[id] = guard, view
	return New(Config{
		Self: membership.Instance{ID: id, Zone: "z0"}, View: view, Control: w, Owners: &fakeOwners{w, id},
		Selector: selection.New(selection.Config{}, rand.New(rand.NewPCG(w.seed, 1))),
		Guard:    guard, Served: snapshot.NewServed(), Metrics: w, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
}

// publish signs a bundle with one search service and one class.
func (w *world) publish(minCoverage, hedgeBudget float64, crashLimit int) {
	canary := fmt.Sprintf("{enabled: %v, max_wait: %v}", w.canary > 0, w.canary)
	text := fmt.Sprintf(`version: 1
platform: {max_deadline: 10s, max_hedge_budget: 1.0, max_crash_limit: 4}
teams:
  - name: team
    services:
      - {name: service, kind: search, slots: 2, connections: 25, deadline: 500ms, hedge: {quantile: 0.9, budget: %v}, canary: %s, crash_limit: %d}
    classes:
      - {name: class, priority: 0, min_coverage: %v, deadline: 500ms, services: [service]}
    callers:
      - {name: caller, class: class, token_sha256: %x}
`, hedgeBudget, canary, crashLimit, minCoverage, sha256.Sum256([]byte("token")))
	author, err := bundle.NewAuthor(rand.NewChaCha8([32]byte{}))
	if err != nil {
		panic(err)
	}
	data, err := author.Publish([]byte(text))
	if err != nil {
		panic(err)
	}
	if w.verdict, err = bundle.Verify(data, author.Trust()); err != nil {
		panic(err)
	}
}

// search runs one query through an entry.
func (w *world) search(e *Entry, id, query string) (*Answer, error) {
	return e.Search(context.Background(), SearchRequest{
		RequestID: id, Team: "team", Service: "service", Token: "token", Query: query, Limit: worldLimit})
}

// The world is the control plane and the metrics of its entries.

func (w *world) EnsureFresh(context.Context) bool { return false }
func (w *world) Bundle() (*bundle.Verified, bool) { return w.verdict, true }
func (w *world) Sender() *peerpb.Sender           { return nil }
func (w *world) ObserveSender(*peerpb.Sender)     {}
func (w *world) Observe(string, time.Duration)    {}
func (w *world) Manifest(_, _ string) (*snapshot.Manifest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.manifest, true
}

// RefreshManifest publishes what the backend servers serve by now.
func (w *world) RefreshManifest(context.Context, string, string) {
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := &snapshot.Manifest{}
	for version := int64(1); version <= 3; version++ {
		for _, serves := range w.serves {
			if serves[len(serves)-1] >= version {
				newest.Snapshots = append(newest.Snapshots, w.index[version])
				break
			}
		}
	}
	w.manifest = newest
}

func (w *world) Count(name string, n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name] += n
}
