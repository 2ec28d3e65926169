package snapshot

import "time"

// Replicas returns the ids of the backend servers that may serve a shard.
type Replicas func(shard int) []string

// Choose returns the snapshot that a query pins: the newest one that every
// shard is known to serve, else the newest one that no shard is known to lack,
// else the one whose shards hold the most documents. A new snapshot is thereby
// used only when its shards have stated that they loaded it, and no query pays
// a failed attempt for the change. Versions in exclude are not chosen. The
// result is false when the manifest offers no snapshot.
func Choose(m *Manifest, replicas Replicas, served *Served, exclude map[int64]bool, now time.Time) (Snapshot, bool) {
	var best Snapshot
	bestRank := rank{certainty: -1}
	for _, candidate := range m.Snapshots {
		if exclude[candidate.Version] {
			continue
		}
		r := rankOf(candidate, replicas, served, now)
		if bestRank.less(r) {
			best, bestRank = candidate, r
		}
	}
	return best, bestRank.certainty >= 0
}

// rank orders candidate snapshots.
type rank struct {
	certainty Knowledge // least certain shard
	documents int64     // on shards that may serve the snapshot, when some shard lacks it
	version   int64
}

func (r rank) less(other rank) bool {
	if r.certainty != other.certainty {
		return r.certainty < other.certainty
	}
	if r.documents != other.documents {
		return r.documents < other.documents
	}
	return r.version < other.version
}

func rankOf(s Snapshot, replicas Replicas, served *Served, now time.Time) rank {
	worst := Present
	reachable := int64(0)
	for _, p := range s.Partitions {
		k := shardKnowledge(replicas(p.Shard), s.Version, served, now)
		worst = min(worst, k)
		if k != Absent {
			reachable += p.Documents
		}
	}
	r := rank{certainty: worst, version: s.Version}
	if worst == Absent {
		r.documents = reachable
	}
	return r
}

// shardKnowledge returns the best knowledge over a shard's replicas; a shard
// without replicas cannot serve.
func shardKnowledge(servers []string, version int64, served *Served, now time.Time) Knowledge {
	best := Absent
	for _, id := range servers {
		best = max(best, served.Knows(id, version, now))
	}
	return best
}
