package coverage

// Report states what an answer covers, as callers read it.
type Report struct {
	Documents      int64     `json:"documents"`
	DocumentsTotal int64     `json:"documents_total"`
	Fraction       float64   `json:"fraction"` // Documents / DocumentsTotal, 1 for an empty index
	Complete       bool      `json:"complete"` // true when no partition is missing
	Missing        []Missing `json:"missing"`
}
