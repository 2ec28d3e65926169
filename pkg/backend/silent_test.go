package backend

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// silence is the progress timeout of tests in which a server stays silent. It
// is long enough for the replies of a healthy server on a busy machine.
const silence = 400 * time.Millisecond

// silentAfter answers the given number of requests, all at once. Later
// requests on the same connections get no answer; newWorks says whether those
// on new connections do.
func silentAfter(t *testing.T, answered int32, newWorks bool) (*rawServer, *Pool) {
	var all sync.WaitGroup
	all.Add(int(answered))
	var old sync.Map
	server := newRawServer(t, func(conn net.Conn, n int32, _ *http.Request) (string, bool) {
		_, known := old.LoadOrStore(conn, true)
		if n <= answered {
			all.Done()
			all.Wait()
		} else if known || !newWorks {
			return "", false
		}
		return echo("documents", 9), false
	})
	pool := poolFor(t, server.address(), Options{ProgressTimeout: silence, MaxDials: 1})
	searchTogether(t, pool, int(answered))
	return server, pool
}

// Guards against blaming a healthy server for connections that became
// unresponsive, and against meeting every one of them in turn.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	server, pool := silentAfter(t, 2, true)
	searchTogether(t, pool, 1)
	assert.Equal(t, server.dials.Load(), int32(3), "dials")
	wantStats(t, pool, 1, 1)
}

// Guards against endless attempts on a server that is silent as a whole, and
// against the claim "not run" when the second connection is refused but the
// first one may have delivered the request.
func TestSilentServerIsBlamedAfterOneNewConnection(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		server, pool := silentAfter(t, 1, false)
		want := int32(2)
		if refuses {
			_ = server.Close()
			want = 1
		}
		_, err := pool.Search(testContext(t), testCall)
		wantFailure(t, err, peerpb.ResultStatus_UNREACHABLE, unknown)
		assert.Equal(t, server.dials.Load(), want, "dials")
	}
}

// Guards against closing connections that have proven to respond since the
// silent call was sent.
func TestDropIdleKeepsProvenConnections(t *testing.T) {
	_, pool := silentAfter(t, 2, true)
	assert.Equal(t, pool.dropIdle(pool.idle[0].lastUse), 1, "dropped")
	wantStats(t, pool, 1, 1)
}

// The pattern: calls on several connections end together. Guards against idle connections
// that are not in the order of their last use, of which the wrong ones are closed (seen
// once in the CI script).
func TestIdleConnectionsAreInOrderOfUse(t *testing.T) {
	for range 300 {
		pool := &Pool{limit: 32, open: 32, opts: Options{IdleTimeout: time.Hour}}
		var calls sync.WaitGroup
		for range 32 {
			calls.Go(func() { pool.release(&connection{}) })
		}
		calls.Wait()
		ordered := slices.IsSortedFunc(pool.idle, func(a, b *connection) int { return a.lastUse.Compare(b.lastUse) })
		assert.Assert(t, ordered)
	}
}

// Guards against reporting a connection that the server closed while idle as a
// crash of the next request.
func TestConnectionClosedWhileIdleIsNoCrash(t *testing.T) {
	closed := make(chan struct{}, 2)
	server := newRawServer(t, func(conn net.Conn, _ int32, _ *http.Request) (string, bool) {
		_, _ = conn.Write([]byte(echo("documents", 9)))
		_ = conn.Close()
		closed <- struct{}{}
		return "", true
	})
	pool := poolFor(t, server.address(), Options{})
	for range 2 {
		searchTogether(t, pool, 1)
		<-closed
	}
}

// Guards against a reconnect storm: dials wait for a token, and a call that
// gets none has not run.
func TestDialsAreLimited(t *testing.T) {
	server, pool := silentAfter(t, 0, true)
	pool.dials <- struct{}{}
	ctx, cancel := context.WithTimeout(t.Context(), silence)
	defer cancel()
	_, err := pool.Search(ctx, testCall)
	wantFailure(t, err, peerpb.ResultStatus_DEADLINE, noRun)
	assert.Equal(t, server.dials.Load(), int32(0), "dials")
	<-pool.dials
	searchTogether(t, pool, 1)
}
