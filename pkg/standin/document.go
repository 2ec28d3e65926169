package standin

// Document is one entry of a service's index in one snapshot.
type Document struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"` // in (0, 1], higher ranks first
	Text  string  `json:"document"`
}
