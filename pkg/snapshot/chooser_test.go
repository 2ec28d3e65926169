package snapshot

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// twoShards returns a snapshot with 10 documents on shard 0 and 20 on shard 1.
func twoShards(version int64) Snapshot {
	return Snapshot{Version: version, Partitions: []Partition{
		{Shard: 0, To: "m", Documents: 10},
		{Shard: 1, From: "m", Documents: 20},
	}}
}

func oneReplica(shard int) []string { return []string{[]string{"s0", "s1"}[shard]} }

func choose(t *testing.T, known *KnownSnapshots, now time.Time, versions ...int64) int64 {
	t.Helper()
	m := &Manifest{}
	for _, v := range versions {
		m.Snapshots = append(m.Snapshots, twoShards(v))
	}
	chosen, ok := Choose(m, oneReplica, known, nil, now)
	assert.Assert(t, ok)
	return chosen.Version
}

// Guards against queries with failed attempts because they pin a new snapshot
// before all shards have loaded it.
func TestNewSnapshotWaitsForEveryShard(t *testing.T) {
	known := NewKnownSnapshots()
	known.Record("s0", []int64{1, 2}, start)
	known.Record("s1", []int64{1}, start)
	assert.Equal(t, choose(t, known, start, 1, 2), int64(1))
	known.Record("s1", []int64{1, 2}, start)
	assert.Equal(t, choose(t, known, start, 1, 2), int64(2))
}

// Guards against queries that are refused without an attempt: the backend servers
// last reported an old snapshot, and the manifest lists only a newer one.
func TestOldStatementDoesNotRuleOutNewerSnapshot(t *testing.T) {
	known := NewKnownSnapshots()
	known.Record("s0", []int64{1}, start)
	assert.Equal(t, known.Availability("s0", 2, start), Absent)
	assert.Equal(t, known.Availability("s0", 2, start.Add(2*newerAbsentTTL)), Unknown)
	assert.Equal(t, known.Availability("s0", 0, start.Add(2*newerAbsentTTL)), Absent)
}

// Guards against choosing the newest snapshot when every snapshot lacks a shard
// and another one covers more documents.
func TestMostDocumentsWhenEverySnapshotIsIncomplete(t *testing.T) {
	known := NewKnownSnapshots()
	known.Record("s0", []int64{2}, start)
	known.Record("s1", []int64{1}, start)
	assert.Equal(t, choose(t, known, start, 1, 2), int64(1))
}
