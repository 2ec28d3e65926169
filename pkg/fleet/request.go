package fleet

// Request is one request of a caller. A request with a payload is a
// submission, all others are searches.
type Request struct {
	Class   Class
	Service string
	Query   string
	Limit   int
	Key     string // of a submission
	Payload string // of a submission
	Draw    uint64 // chooses the entry instance
}

// Submission reports whether the request is a submission.
func (r Request) Submission() bool { return r.Payload != "" }
