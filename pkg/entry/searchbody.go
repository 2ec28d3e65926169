package entry

// searchBody is the JSON body of a search.
type searchBody struct {
	Query string `json:"query"`
	Limit int    `json:"limit"` // greatest number of hits; 0 selects defaultLimit
}

// Default and maximum number of hits of a search.
const (
	defaultLimit = 50
	maxLimit     = 10_000
)
