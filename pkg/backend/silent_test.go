package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// silence is the progress timeout of tests in which a server stays silent.
const silence = 30 * time.Millisecond

// silentAfter answers on connections, two requests at a time, until the given
// number of requests has been answered. Later requests on these connections
// get no answer, while answerNew says whether new connections work.
func silentAfter(t *testing.T, answered int32, answerNew bool) *rawServer {
	var both sync.WaitGroup
	both.Add(int(answered))
	var mu sync.Mutex
	old := make(map[net.Conn]bool)
	return newRawServer(t, func(conn net.Conn, n int32, _ *http.Request) bool {
		mu.Lock()
		known := old[conn]
		old[conn] = true
		mu.Unlock()
		if n <= answered {
			both.Done()
			both.Wait()
		} else if known || !answerNew {
			return true
		}
		_, _ = conn.Write([]byte(rawReply(echo(nil))))
		return true
	})
}

func searchTogether(t *testing.T, pool *Pool, n int) {
	t.Helper()
	ctx := testContext(t)
	errs := make(chan error, n)
	for range n {
		go func() {
			_, err := pool.Search(ctx, testCall)
			errs <- err
		}()
	}
	for range n {
		noError(t, <-errs)
	}
}

// Guards against blaming a healthy server for connections that became
// unresponsive, and against meeting every one of them in turn.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	server := silentAfter(t, 2, true)
	pool := poolFor(t, server.address(), Options{ProgressTimeout: silence})
	searchTogether(t, pool, 2)
	_, err := pool.Search(testContext(t), testCall)
	noError(t, err)
	equal(t, "dials", server.dials.Load(), 3)
	open, idle := pool.Stats()
	equal(t, "open", open, 1)
	equal(t, "idle", idle, 1)
}

// Guards against endless attempts on a server that is silent as a whole.
func TestSilentServerIsBlamedAfterOneNewConnection(t *testing.T) {
	server := silentAfter(t, 1, false)
	pool := poolFor(t, server.address(), Options{ProgressTimeout: silence})
	searchTogether(t, pool, 1)
	_, err := pool.Search(testContext(t), testCall)
	equal(t, "status", failure(t, err).Status, peerpb.ResultStatus_UNREACHABLE)
	equal(t, "run", failure(t, err).Run, peerpb.RunState_RUN_STATE_UNKNOWN)
	equal(t, "dials", server.dials.Load(), 2)
}

// Guards against the claim "not run" when the second connection is refused but
// the first one may have delivered the request.
func TestSilenceThenRefusalIsNotNotRun(t *testing.T) {
	server := silentAfter(t, 1, false)
	pool := poolFor(t, server.address(), Options{ProgressTimeout: silence})
	searchTogether(t, pool, 1)
	noError(t, server.listener.Close())
	_, err := pool.Search(testContext(t), testCall)
	equal(t, "status", failure(t, err).Status, peerpb.ResultStatus_UNREACHABLE)
	equal(t, "run", failure(t, err).Run, peerpb.RunState_RUN_STATE_UNKNOWN)
}

// Guards against closing connections that have proven to respond since the
// silent call was sent.
func TestDropIdleKeepsProvenConnections(t *testing.T) {
	pool := poolFor(t, silentAfter(t, 2, true).address(), Options{})
	searchTogether(t, pool, 2)
	equal(t, "dropped", pool.dropIdle(pool.idle[0].lastUse), 1)
	open, idle := pool.Stats()
	equal(t, "open", open, 1)
	equal(t, "idle", idle, 1)
}

// Guards against reporting a connection that the server closed while idle as a
// crash of the next request.
func TestConnectionClosedWhileIdleIsNoCrash(t *testing.T) {
	closed := make(chan struct{}, 2)
	server := newRawServer(t, func(conn net.Conn, _ int32, _ *http.Request) bool {
		_, _ = conn.Write([]byte(rawReply(echo(nil))))
		_ = conn.Close()
		closed <- struct{}{}
		return false
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
	server := silentAfter(t, 1, true)
	pool := poolFor(t, server.address(), Options{MaxDials: 1})
	pool.dials <- struct{}{}
	ctx, cancel := context.WithTimeout(t.Context(), silence)
	defer cancel()
	_, err := pool.Search(ctx, testCall)
	equal(t, "run", failure(t, err).Run, peerpb.RunState_RUN_STATE_NOT_RUN)
	equal(t, "dials", server.dials.Load(), 0)
	<-pool.dials
	searchTogether(t, pool, 1)
}
