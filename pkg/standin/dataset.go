package standin

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// Every how many documents one is left out of a snapshot, and a different one
// of each snapshot, so that snapshots differ in keys as well as in texts.
const absentEvery = 17

// Dataset holds the documents of one service. All of it is derived from the
// seed, so that separate processes agree on it without exchanging data.
type Dataset struct {
	Team      string
	Service   string
	Seed      uint64
	Documents int // candidates; each snapshot leaves some of them out
	Shards    int

	mu     sync.Mutex
	builds map[int64]*build // guarded by mu; entries are immutable
}

// build is the materialized form of one snapshot.
type build struct {
	snapshot  snapshot.Snapshot
	documents []Document // ascending by key
	shards    []*shardIndex
}

// NewDataset returns the dataset of a service with the given number of
// candidate documents over the given number of shards.
func NewDataset(seed uint64, team, service string, documents, shards int) *Dataset {
	return &Dataset{
		Team: team, Service: service, Seed: seed,
		Documents: documents, Shards: shards,
		builds: map[int64]*build{},
	}
}

// Snapshot returns the partitions of a snapshot version. Partition boundaries
// and their assignment to shards change with the version.
func (d *Dataset) Snapshot(version int64) snapshot.Snapshot {
	return d.build(version).snapshot
}

// All returns the documents of a snapshot version, ascending by key. The
// caller must not modify them.
func (d *Dataset) All(version int64) []Document {
	return d.build(version).documents
}

// Manifest returns the index document that lists the given versions.
func (d *Dataset) Manifest(versions ...int64) snapshot.Manifest {
	manifest := snapshot.Manifest{Team: d.Team, Service: d.Service}
	for _, version := range versions {
		manifest.Snapshots = append(manifest.Snapshots, d.Snapshot(version))
	}
	return manifest
}

func (d *Dataset) shard(version int64, shard int) *shardIndex {
	return d.build(version).shards[shard]
}

func (d *Dataset) build(version int64) *build {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b, ok := d.builds[version]; ok {
		return b
	}
	b := &build{documents: d.generate(version)}
	b.snapshot = snapshot.Snapshot{Version: version}
	b.shards = make([]*shardIndex, d.Shards)
	d.partition(b, version)
	d.builds[version] = b
	return b
}

func (d *Dataset) generate(version int64) []Document {
	documents := make([]Document, 0, d.Documents)
	for i := range d.Documents {
		base := d.hash(fmt.Sprintf("key/%d", i))
		if (base+uint64(version))%absentEvery == 0 {
			continue
		}
		documents = append(documents, d.document(base, i, version))
	}
	sort.Slice(documents, func(a, b int) bool { return documents[a].Key < documents[b].Key })
	return documents
}

func (d *Dataset) document(base uint64, number int, version int64) Document {
	key := fmt.Sprintf("%c%c-%06d", 'a'+rune(base%26), 'a'+rune(base/26%26), number)
	rank := d.hash(fmt.Sprintf("score/%s/%d", key, version))
	return Document{
		Key:   key,
		Score: float64(rank%1_000_000+1) / 1_000_000,
		Text:  fmt.Sprintf("%s/%s snapshot %d record %s digest %08x", d.Team, d.Service, version, key, uint32(rank>>32)),
	}
}

// partition splits the documents at boundaries that depend on the version.
// Shares differ by up to a factor of two between shards.
func (d *Dataset) partition(b *build, version int64) {
	weights := make([]uint64, d.Shards)
	var total uint64
	for i := range weights {
		weights[i] = 100 + d.hash(fmt.Sprintf("weight/%d/%d", i, version))%100
		total += weights[i]
	}
	start, seen := 0, uint64(0)
	for i, weight := range weights {
		seen += weight
		end := int(uint64(len(b.documents)) * seen / total)
		shard := (i + int(version)) % d.Shards
		b.add(shard, start, end, i == 0, i == d.Shards-1)
		start = end
	}
}

func (b *build) add(shard, start, end int, first, last bool) {
	part := snapshot.Partition{Shard: shard, Documents: int64(end - start)}
	if !first {
		part.From = b.documents[start].Key
	}
	if !last {
		part.To = b.documents[end].Key
	}
	b.snapshot.Partitions = append(b.snapshot.Partitions, part)
	b.shards[shard] = newShardIndex(part, b.documents[start:end])
}

func (d *Dataset) hash(label string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d/%s/%s/%s", d.Seed, d.Team, d.Service, label))
}

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // only plain structs of this package are passed
	}
	return data
}
