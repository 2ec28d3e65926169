package replicas

// Outcome is how an attempt ended.
type Outcome int

// Outcomes.
const (
	Answered  Outcome = iota // a reply of the request's run
	Refused                  // the server stated that it did not run the request
	Failed                   // no reply, a broken one, or the server's own error
	Abandoned                // given up here; says nothing but that it took that long
	Misplaced                // another server has the address
	Expired                  // the server has stopped, because a later reply is of no use
)
