package coverage

// MissingShard is a shard, with its key range, that an answer does not cover.
type MissingShard struct {
	Shard     int    `json:"shard"`
	From      string `json:"from"` // inclusive
	To        string `json:"to"`   // exclusive; empty means unbounded
	Documents int64  `json:"documents"`
	Reason    Reason `json:"reason"`
}
