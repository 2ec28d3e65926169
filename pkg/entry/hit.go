package entry

// Hit is one document found.
type Hit struct {
	Key      string  `json:"key"`
	Score    float64 `json:"score"`
	Document string  `json:"document"`
}
