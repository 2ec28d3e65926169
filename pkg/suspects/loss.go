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

// counted returns the indices of the losses that count: all that are not refuted, whether or
// not their attempts overlapped.
func counted(losses []Loss) []int {
	var indices []int
	for i, loss := range losses {
		if !loss.Refuted {
			indices = append(indices, i)
		}
	}
	return indices
}
