package coverage

// Report states which part of a snapshot an answer covers.
type Report struct {
	Documents      int64          `json:"documents"`
	DocumentsTotal int64          `json:"documents_total"`
	Fraction       float64        `json:"fraction"` // Documents / DocumentsTotal, 1 for an empty index
	Complete       bool           `json:"complete"` // no shard is missing
	Missing        []MissingShard `json:"missing"`
}
