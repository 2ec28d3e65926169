package backend

import (
	"net/http"
	"slices"
	"testing"
)

// Guards against lost or wrong request headers and against results without
// what the reply's headers tell about the server.
func TestSearchCarriesHeadersBothWays(t *testing.T) {
	var got http.Header
	pool := newTestPool(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set(HeaderIncarnation, "inc-1")
		w.Header().Set(HeaderSnapshots, "7, 8")
		w.Header().Set(HeaderDraining, "1")
		_, _ = w.Write(echo(nil))
	}, Options{Zone: "z1"})
	result, err := pool.Search(testContext(t), testCall)
	noError(t, err)
	equal(t, "documents", result.Documents, 9)
	equal(t, "incarnation", result.Incarnation, "inc-1")
	equal(t, "draining", result.Draining, true)
	equal(t, "snapshots", slices.Equal(result.Snapshots, []int64{7, 8}), true)
	for name, want := range map[string]string{
		HeaderRequest: "r1", HeaderAttempt: "2", HeaderShard: "3", HeaderSnapshot: "7", HeaderZone: "z1",
	} {
		equal(t, name, got.Get(name), want)
	}
	equal(t, "timeout header present", got.Get(HeaderTimeout) != "", true)
	open, idle := pool.Stats()
	equal(t, "open", open, 1)
	equal(t, "idle", idle, 1)
}
