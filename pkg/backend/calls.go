package backend

// SearchCall is one search attempt on one shard. Its timeout is the deadline
// of the context.
type SearchCall struct {
	Request  string
	Attempt  int32
	Shard    int32
	Snapshot int64
	Query    string
	Limit    int32
}

// Hit is one found document.
type Hit struct {
	Key      string  `json:"key"`
	Score    float64 `json:"score"`
	Document string  `json:"document"`
}

// SearchReply is a complete reply that matches its call.
type SearchReply struct {
	ServerState
	Snapshot  int64
	From      string
	To        string
	Documents int64
	Hits      []Hit
}

// SubmitCall is one submission. Operation is the ticket id.
type SubmitCall struct {
	Request   string
	Attempt   int32
	Shard     int32
	Operation string
	Key       string
	Payload   []byte // JSON
}

// SubmitReply is the reply to a submission that has run.
type SubmitReply struct {
	ServerState
	Result []byte // JSON
}

// SendGuard records that a submission may have been sent.
type SendGuard interface {
	// Send is called immediately before the first byte can be written. When it
	// returns false nothing is written and the call fails as not run.
	Send() bool
}
