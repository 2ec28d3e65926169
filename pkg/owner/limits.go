package owner

// Limits are the limits of a backend server that the pinned bundle states. They
// apply to all instances together.
type Limits struct {
	Slots       int // concurrent requests
	Connections int
}

// connectionShares are the shares of a backend server's connections in percent,
// by ownership rank. They sum to less than 100, so that all owners together stay
// within the connection limit while their views agree.
var connectionShares = [...]int{48, 24, 24}

// connectionQuota returns how many connections the owner of the given rank
// (counted from 1) may open. Each gets at least one, so with fewer than three
// connections the owners together may exceed the limit. Instances without a rank
// get one connection as well: when the views of instances differ, requests may
// become slower but must not fail, and the backend server enforces its own limit.
func connectionQuota(rank, connections int) int {
	if rank < 1 || rank > len(connectionShares) {
		return 1
	}
	return max(1, connections*connectionShares[rank-1]/100)
}
