package oracle

// Answer is the reply to a search, as callers receive it.
type Answer struct {
	RequestID     string   `json:"request_id"`
	Team          string   `json:"team"`
	Service       string   `json:"service"`
	Class         string   `json:"class"`
	Instance      string   `json:"instance"`
	BundleVersion int64    `json:"bundle_version"`
	Snapshot      int64    `json:"snapshot"`
	Coverage      Coverage `json:"coverage"`
	Hits          []Hit    `json:"hits"`
	Attempts      int      `json:"attempts"`
	Shards        int      `json:"shards"`
	StaleView     bool     `json:"stale_view"`
}

// Hit is one document of an answer.
type Hit struct {
	Key      string  `json:"key"`
	Score    float64 `json:"score"`
	Document string  `json:"document"`
}

// Coverage is an answer's statement of how much of the index it reflects.
type Coverage struct {
	Documents      int64     `json:"documents"`
	DocumentsTotal int64     `json:"documents_total"`
	Fraction       float64   `json:"fraction"`
	Complete       bool      `json:"complete"`
	Missing        []Missing `json:"missing"`
}

// Missing is a range that an answer doesn't reflect.
type Missing struct {
	Shard     int    `json:"shard"`
	From      string `json:"from"`
	To        string `json:"to"`
	Documents int64  `json:"documents"`
	Reason    string `json:"reason"`
}

func (m Missing) contains(key string) bool {
	return key >= m.From && (m.To == "" || key < m.To)
}
