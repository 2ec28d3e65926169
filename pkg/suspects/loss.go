package suspects

import "time"

// Loss is the loss of a connection on which a backend server was running a request.
type Loss struct {
	Server string    // run of a backend server, directory.Server.Key
	Began  time.Time // start of the attempt
	Ended  time.Time // when the connection was lost
	// Refuted is set when the server has answered soon after: only the connection was lost.
	Refuted bool
}

// consecutive returns the indices of the losses that happened one after the other: an
// attempt that began before the previous loss was known belongs to it. The losses are in the
// order of their ends. Refuted losses do not count.
func consecutive(losses []Loss) []int {
	var counted []int
	var last time.Time
	for i, loss := range losses {
		if loss.Refuted || len(counted) > 0 && loss.Began.Before(last) {
			continue
		}
		counted = append(counted, i)
		last = loss.Ended
	}
	return counted
}
