package entry

// runRecord tracks whether any part of a request may have run. It is kept across
// the restarts of a query and belongs to one goroutine.
type runRecord struct {
	mayHaveRun  bool  // a backend server has run a part of the request, or may have
	pending     int   // attempts without a result
	lastAttempt int32 // number of the latest attempt; numbers are unique per request
}

// statement returns what a refusal may state at this moment.
func (r *runRecord) statement() RunStatement {
	if r.mayHaveRun || r.pending > 0 {
		return RunUnknown
	}
	return NotRun
}
