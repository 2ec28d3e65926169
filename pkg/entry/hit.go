package entry

// Hit is one document that matches a search.
type Hit struct {
	Key      string  `json:"key"`
	Score    float64 `json:"score"`
	Document string  `json:"document"`
}
