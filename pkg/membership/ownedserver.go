package membership

import "cmp"

// OwnedServer is a backend server that this instance owns, with its rank 1..3.
type OwnedServer struct {
	BackendServer
	Rank int
}

func compareOwned(a, b OwnedServer) int {
	return cmp.Compare(a.ID, b.ID)
}
