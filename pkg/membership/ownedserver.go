package membership

import "cmp"

// OwnedServer is a backend server that this instance owns, with the rank of this
// instance among its owners, from 1 to 3.
type OwnedServer struct {
	BackendServer
	Rank int
}

func compareOwned(a, b OwnedServer) int {
	return cmp.Compare(a.ID, b.ID)
}
