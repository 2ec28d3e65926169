package replicas

// Outcome is the result of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	Answered    Outcome = iota // the server ran the request and replied
	Refused                    // the server replied that it did not run the request
	Failed                     // no reply, a malformed reply or a server error
	Abandoned                  // cancelled by this instance; the duration is only a lower bound of the latency
	Misdirected                // another server answered at the address
	Expired                    // the server stopped work because the reply would come too late to be used
)
