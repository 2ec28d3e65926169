package backend

// SearchCall is one search attempt on one shard. The deadline of the context
// passed to Search bounds it.
type SearchCall struct {
	Request  string
	Attempt  int32
	Shard    int32
	Snapshot int64
	Query    string
	Limit    int32
	// MaySend is called when a connection is ready, possibly after a wait. If it returns
	// false, nothing is sent and the error has the status DRAINING. A nil function allows
	// every call.
	MaySend func() bool
}

// Hit is one found document.
type Hit struct {
	Key      string  `json:"key"`
	Score    float64 `json:"score"`
	Document string  `json:"document"`
}

// SearchReply is a complete search reply whose request, attempt, shard and
// snapshot match the call. From and To bound the keys of the shard.
type SearchReply struct {
	ServerState
	Snapshot  int64
	From      string
	To        string
	Documents int64
	Hits      []Hit
}

// SubmitCall is one attempt to run a submission. Operation is the ticket id.
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

// SendGuard decides whether a submission may still be sent and records that it
// may have been.
type SendGuard interface {
	// Send is called immediately before the first byte is written. If it returns
	// false, nothing is written and the call fails with the run state "not run".
	Send() bool
}
