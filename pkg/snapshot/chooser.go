package snapshot

import "time"

// Replicas returns the ids of the backend servers that may serve a shard of the
// query.
type Replicas func(shard int) []string

// Choose returns the snapshot that a query pins: the newest one that every shard
// is known to serve; else the newest one that no shard is known to lack; else the
// one with the most documents on shards that may serve it. Queries therefore move
// to a new snapshot only after every shard has reported it, and no query needs a
// failed attempt to find out that a shard has not loaded it yet. Versions in
// exclude are not chosen. The result is false if no version is left to choose.
func Choose(m *Manifest, replicas Replicas, known *KnownSnapshots, exclude map[int64]bool, now time.Time) (Snapshot, bool) {
	var best Snapshot
	bestRank := rank{availability: -1}
	for _, candidate := range m.Snapshots {
		if exclude[candidate.Version] {
			continue
		}
		r := rankOf(candidate, replicas, known, now)
		if bestRank.less(r) {
			best, bestRank = candidate, r
		}
	}
	return best, bestRank.availability >= 0
}

// rank orders candidate snapshots; the highest one is chosen.
type rank struct {
	availability Availability // lowest availability of any shard
	documents    int64        // on shards that may serve the snapshot; 0 unless some shard lacks it
	version      int64
}

func (r rank) less(other rank) bool {
	if r.availability != other.availability {
		return r.availability < other.availability
	}
	if r.documents != other.documents {
		return r.documents < other.documents
	}
	return r.version < other.version
}

func rankOf(s Snapshot, replicas Replicas, known *KnownSnapshots, now time.Time) rank {
	lowest := Present
	reachable := int64(0)
	for _, p := range s.Partitions {
		available := shardAvailability(replicas(p.Shard), s.Version, known, now)
		lowest = min(lowest, available)
		if available != Absent {
			reachable += p.Documents
		}
	}
	r := rank{availability: lowest, version: s.Version}
	if lowest == Absent {
		r.documents = reachable
	}
	return r
}

// shardAvailability returns the highest availability of a snapshot on the
// replicas of a shard. A shard without replicas lacks every snapshot.
func shardAvailability(servers []string, version int64, known *KnownSnapshots, now time.Time) Availability {
	best := Absent
	for _, id := range servers {
		best = max(best, known.Availability(id, version, now))
	}
	return best
}
