package owner

// Limits are the bounds of a backend server that the pinned bundle states for
// all instances together.
type Limits struct {
	Slots       int // concurrent requests
	Connections int
}

// Shares of a backend server's connections by ownership rank, in percent. They
// sum to less than 100, so that all owners together stay within the limit
// while their views agree.
var connectionShares = [...]int{48, 24, 24}

// connectionQuota returns how many connections the owner of the given rank
// (1 first) may open, at least one: with fewer than three connections the ranks
// together may exceed the limit. Instances beyond the last rank get one connection: a
// view that differs must cost speed, not availability, and the backend server
// enforces its own limit.
func connectionQuota(rank, connections int) int {
	if rank < 1 || rank > len(connectionShares) {
		return 1
	}
	return max(1, connections*connectionShares[rank-1]/100)
}
