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

// Size of the cluster and of its queries.
const (
	numShards    = 5
	numReplicas  = 2
	numInstances = 4
	numDocuments = 40
	searchLimit  = 12
	numOwners    = 3 // owners of a backend server
)

// cluster simulates the indexes and backend servers behind one or more entries
// and records what the fake owners receive. It runs in a synctest bubble, so
// time is virtual.
type cluster struct {
	seed       uint64
	faults     []fault                      // chooseFault picks one for each attempt
	faultFor   func(*receivedAttempt) fault // replaces chooseFault for attempts, if set
	canaryWait time.Duration
	bundle     *bundle.Verified

	mu              sync.Mutex // guards everything below
	snapshots       map[int64]snapshot.Snapshot
	servedSnapshots map[string][]int64 // snapshot versions by backend server
	manifest        *snapshot.Manifest
	startedAt       map[string]time.Time       // of queries
	endedAt         map[string]time.Time       // of queries
	openStreams     map[int][]*receivedAttempt // attempts of the streams in progress, by stream number
	streamCount     int
	counters        map[string]int64 // metrics
	received        map[string][]*receivedAttempt
	messageCounts   map[string]int               // search messages, by owner
	guards          map[string]*crashguard.Guard // by instance
	drainReported   map[string]time.Time         // when an owner reported the backend server as draining
	pausedOwners    map[string]bool              // owners that do not acknowledge messages
	views           map[string]*membership.View  // views of the entries, by instance
	excludedServers []string                     // backend servers that were asked although the view excludes them
}

// receivedAttempt is an attempt as an owner received it.
type receivedAttempt struct {
	*peerpb.ShardAttempt
	request    string
	owner      string
	snapshot   int64
	receivedAt time.Time
	run        peerpb.RunState // as stated to the entry
	answered   bool            // answered without a fault that makes the entry reject the reply
	endedAt    time.Time       // when it was answered or its stream ended
}

func newCluster(seed uint64, faults ...fault) *cluster {
	c := &cluster{
		seed: seed, faults: faults, snapshots: map[int64]snapshot.Snapshot{}, servedSnapshots: map[string][]int64{},
		counters: map[string]int64{}, received: map[string][]*receivedAttempt{}, messageCounts: map[string]int{},
		guards: map[string]*crashguard.Guard{}, pausedOwners: map[string]bool{}, views: map[string]*membership.View{},
		drainReported: map[string]time.Time{}, startedAt: map[string]time.Time{}, endedAt: map[string]time.Time{},
		openStreams: map[int][]*receivedAttempt{},
	}
	for version := int64(1); version <= 3; version++ {
		c.snapshots[version] = snapshotOf(version)
	}
	c.manifest = &snapshot.Manifest{Snapshots: []snapshot.Snapshot{c.snapshots[1]}}
	for _, server := range c.members().BackendServers {
		c.servedSnapshots[server.ID] = []int64{1}
	}
	return c
}

// snapshotOf returns a version of the index. Each version has other partition
// boundaries, except in the first two shards: replies of those differ only in
// their snapshot version.
func snapshotOf(version int64) snapshot.Snapshot {
	s := snapshot.Snapshot{Version: version}
	from := 0
	for shard := range numShards {
		to := (shard + 1) * numDocuments / numShards
		if shard > 1 {
			to -= int(version-1) * (shard%2 + 1)
		}
		p := snapshot.Partition{Shard: shard, From: key(from), To: key(to), Documents: int64(to - from)}
		if shard == numShards-1 {
			p.To, p.Documents = "", int64(numDocuments-from)
		}
		s.Partitions = append(s.Partitions, p)
		from = to
	}
	return s
}

func key(n int) string { return fmt.Sprintf("k%03d", n) }

// documents returns the hits of a partition. Scores differ between versions, so
// that checkHits detects an answer that mixes them.
func documents(version int64, p snapshot.Partition) []*peerpb.Hit {
	var hits []*peerpb.Hit
	for n := range numDocuments {
		if k := key(n); p.Contains(k) {
			score := float64(xxhash.Sum64String(fmt.Sprint(version, k)) % 50)
			hits = append(hits, &peerpb.Hit{Shard: int32(p.Shard), Key: k, Score: score, Document: fmt.Sprintf("v%d/%s", version, k)})
		}
	}
	return hits
}

func (c *cluster) members() membership.Members {
	var m membership.Members
	for n := range numInstances {
		m.Instances = append(m.Instances, membership.Instance{ID: fmt.Sprint("i", n), Zone: fmt.Sprint("z", n%2), State: membership.StateLive})
	}
	for shard := range numShards {
		for replica := range numReplicas {
			m.BackendServers = append(m.BackendServers, membership.BackendServer{
				ID: fmt.Sprintf("b%d-%d", shard, replica), Team: "team", Service: "service", Shard: shard, Replica: replica,
				Zone: fmt.Sprint("z", replica), State: membership.StateLive,
			})
		}
	}
	return m
}

// newEntry returns the entry of an instance.
func (c *cluster) newEntry(id string) *Entry {
	view := membership.NewView(id, "z0")
	view.Apply(c.members(), 1)
	guard := crashguard.New()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guards[id], c.views[id] = guard, view
	return New(Config{
		Self: membership.Instance{ID: id, Zone: "z0"}, View: view, Control: c, Owners: &fakeOwners{c, id},
		Selector: selection.New(selection.Config{}, rand.New(rand.NewPCG(c.seed, 1))),
		Guard:    guard, KnownSnapshots: snapshot.NewKnownSnapshots(), Metrics: c, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
}

// publishBundle signs a bundle with one search service and one class.
func (c *cluster) publishBundle(minCoverage, hedgeBudget float64, crashLimit int) {
	canary := fmt.Sprintf("{enabled: %v, max_wait: %v}", c.canaryWait > 0, c.canaryWait)
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
	if c.bundle, err = bundle.Verify(data, author.Trust()); err != nil {
		panic(err)
	}
}

// search runs one query through an entry.
func (c *cluster) search(e *Entry, id, query string) (*Answer, error) {
	return e.Search(context.Background(), SearchRequest{
		RequestID: id, Team: "team", Service: "service", Token: "token", Query: query, Limit: searchLimit})
}

// A cluster is also the control plane and the metrics of its entries.

func (c *cluster) EnsureFresh(context.Context) bool { return false }
func (c *cluster) Bundle() (*bundle.Verified, bool) { return c.bundle, true }
func (c *cluster) Sender() *peerpb.Sender           { return nil }
func (c *cluster) ObserveSender(*peerpb.Sender)     {}
func (c *cluster) Observe(string, time.Duration)    {}
func (c *cluster) Manifest(_, _ string) (*snapshot.Manifest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.manifest, true
}

// RefreshManifest publishes the snapshots that backend servers serve now.
func (c *cluster) RefreshManifest(context.Context, string, string) {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := &snapshot.Manifest{}
	for version := int64(1); version <= 3; version++ {
		for _, versions := range c.servedSnapshots {
			if versions[len(versions)-1] >= version {
				newest.Snapshots = append(newest.Snapshots, c.snapshots[version])
				break
			}
		}
	}
	c.manifest = newest
}

func (c *cluster) Count(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters[name] += n
}
