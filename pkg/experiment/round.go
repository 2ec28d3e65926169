package experiment

// Round is the latency of an arm's answers in one of its turns.
type Round struct {
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
}
