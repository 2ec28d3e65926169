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

// testProgressTimeout is the progress timeout of tests in which a server sends no
// reply. It is long enough for the replies of a healthy server on a busy machine.
const testProgressTimeout = 400 * time.Millisecond

// newServerSilentAfter starts a server that answers the first requests, up to the
// given number, after all of them have arrived, which puts each on a connection of
// its own. Later requests on these connections get no reply; those on new
// connections get one if newConnectionsAnswer is set. The pool has already sent
// the first requests.
func newServerSilentAfter(t *testing.T, answered int32, newConnectionsAnswer bool) (*rawServer, *Pool) {
	var concurrent sync.WaitGroup
	concurrent.Add(int(answered))
	var seenConnections sync.Map
	server := newRawServer(t, func(conn net.Conn, n int32, _ *http.Request) (string, bool) {
		_, known := seenConnections.LoadOrStore(conn, true)
		if n <= answered {
			concurrent.Done()
			concurrent.Wait()
		} else if known || !newConnectionsAnswer {
			return "", false
		}
		return searchReplyWith("documents", 9), false
	})
	pool := poolFor(t, server.address(), Options{ProgressTimeout: testProgressTimeout, MaxConcurrentDials: 1})
	searchConcurrently(t, pool, int(answered))
	return server, pool
}

// Guards against reporting a healthy server as unreachable because connections
// became unresponsive, and against trying each of these connections in turn.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	server, pool := newServerSilentAfter(t, 2, true)
	searchConcurrently(t, pool, 1)
	assert.Equal(t, server.dials.Load(), int32(3), "dials")
	wantStats(t, pool, 1, 1)
}

// Guards against endless tries on a server that sends no reply on any connection,
// and against the run state "not run" when the second connection is refused but
// the first one may have delivered the request.
func TestSilentServerIsBlamedAfterOneNewConnection(t *testing.T) {
	for _, refusesNew := range []bool{false, true} {
		server, pool := newServerSilentAfter(t, 1, false)
		want := int32(2)
		if refusesNew {
			_ = server.Close()
			want = 1
		}
		_, err := pool.Search(testContext(t), testCall)
		wantFailure(t, err, peerpb.ResultStatus_UNREACHABLE, runUnknown)
		assert.Equal(t, server.dials.Load(), want, "dials")
	}
}

// Guards against closing connections that have completed a call since the start
// of the call that got no reply.
func TestDropIdleKeepsProvenConnections(t *testing.T) {
	_, pool := newServerSilentAfter(t, 2, true)
	assert.Equal(t, pool.closeIdleUnusedSince(pool.idle[0].lastUse), 1, "dropped")
	wantStats(t, pool, 1, 1)
}

// Guards against idle connections that are not ordered by last use, which happens
// when calls on several connections end at the same time and the time is read
// before the lock is taken. The pool then closes the wrong connections.
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

// Guards against treating the next request as a crashing request when the server
// closed the connection while it was idle.
func TestConnectionClosedWhileIdleIsNoCrash(t *testing.T) {
	closed := make(chan struct{}, 2)
	server := newRawServer(t, func(conn net.Conn, _ int32, _ *http.Request) (string, bool) {
		_, _ = conn.Write([]byte(searchReplyWith("documents", 9)))
		_ = conn.Close()
		closed <- struct{}{}
		return "", true
	})
	pool := poolFor(t, server.address(), Options{})
	for range 2 {
		searchConcurrently(t, pool, 1)
		<-closed
	}
}

// Guards against a reconnect storm: dials wait for a token, and a call that gets
// no token before its deadline has not run.
func TestDialsAreLimited(t *testing.T) {
	server, pool := newServerSilentAfter(t, 0, true)
	pool.dialTokens <- struct{}{}
	ctx, cancel := context.WithTimeout(t.Context(), testProgressTimeout)
	defer cancel()
	_, err := pool.Search(ctx, testCall)
	wantFailure(t, err, peerpb.ResultStatus_DEADLINE, noRun)
	assert.Equal(t, server.dials.Load(), int32(0), "dials")
	<-pool.dialTokens
	searchConcurrently(t, pool, 1)
}
