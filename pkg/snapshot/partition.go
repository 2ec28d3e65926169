package snapshot

// Partition is the part of a snapshot that one shard serves: the keys in
// [From, To). An empty From or To is unbounded.
type Partition struct {
	Shard     int    `json:"shard"`
	From      string `json:"from"`
	To        string `json:"to"`
	Documents int64  `json:"documents"`
}

// Contains reports whether key lies in the partition's range.
func (p Partition) Contains(key string) bool {
	return key >= p.From && (p.To == "" || key < p.To)
}
