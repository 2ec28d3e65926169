package entry

// runRecord tells whether any part of a request may have run. It spans the
// restarts of a query and belongs to one goroutine.
type runRecord struct {
	maybe    bool  // a backend server ran a part, or may have
	inFlight int   // attempts without a result
	attempts int32 // the last attempt number; numbers are unique per request
}

// statement is what a refusal may truthfully say now.
func (r *runRecord) statement() RunStatement {
	if r.maybe || r.inFlight > 0 {
		return Unknown
	}
	return NotRun
}
