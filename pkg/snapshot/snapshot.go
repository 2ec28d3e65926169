package snapshot

// Snapshot is one immutable version of an index with its partitions.
type Snapshot struct {
	Version    int64       `json:"version"`
	Partitions []Partition `json:"partitions"`
}

// Documents returns the number of documents in all partitions.
func (s Snapshot) Documents() int64 {
	var total int64
	for _, p := range s.Partitions {
		total += p.Documents
	}
	return total
}

// PartitionOf returns the partition whose key range holds key.
func (s Snapshot) PartitionOf(key string) (Partition, bool) {
	for _, p := range s.Partitions {
		if p.Contains(key) {
			return p, true
		}
	}
	return Partition{}, false
}
