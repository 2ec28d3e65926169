package entry

// searchBody is the JSON body of a search.
type searchBody struct {
	Query string `json:"query"`
	Limit int    `json:"limit"` // hits wanted; 0 is defaultLimit
}

// Bounds of a search's number of hits.
const (
	defaultLimit = 50
	maxLimit     = 10_000
)
