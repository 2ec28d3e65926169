package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

const (
	testTimeout = 5 * time.Second // only bounds a test that hangs
	runUnknown  = peerpb.RunState_RUN_STATE_UNKNOWN
	noRun       = peerpb.RunState_RUN_STATE_NOT_RUN
)

var testCall = SearchCall{Request: "r1", Attempt: 2, Shard: 3, Snapshot: 7, Query: "q", Limit: 5}

// wantFailure checks that err is a CallError with the given status and run state,
// and returns it.
func wantFailure(t testing.TB, err error, status peerpb.ResultStatus, run peerpb.RunState) *CallError {
	t.Helper()
	var call *CallError
	if !errors.As(err, &call) {
		t.Fatalf("not a CallError: %v", err)
	}
	assert.Equal(t, call.Status, status, "status")
	assert.Equal(t, call.RunState, run, "run")
	return call
}

// wantStats checks the numbers of open and of idle connections.
func wantStats(t testing.TB, pool *Pool, open, idle int) {
	t.Helper()
	gotOpen, gotIdle := pool.Stats()
	assert.Equal(t, gotOpen, open, "open")
	assert.Equal(t, gotIdle, idle, "idle")
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// poolFor returns a pool for the address with at least 2 connections.
func poolFor(t testing.TB, address string, opts Options) *Pool {
	opts.MaxConnections = max(opts.MaxConnections, 2)
	pool := NewPool(membership.BackendServer{ID: "b1", Address: address}, opts)
	t.Cleanup(pool.Close)
	return pool
}

// searchConcurrently sends n searches at the same time; all must succeed.
func searchConcurrently(t testing.TB, pool *Pool, n int) {
	t.Helper()
	errs := make(chan error, n)
	ctx := testContext(t)
	for range n {
		go func() {
			_, err := pool.Search(ctx, testCall)
			errs <- err
		}()
	}
	for range n {
		assert.NilError(t, <-errs)
	}
}

// searchReplyWith returns the reply to testCall with one field set to value; with
// "documents", 9 the reply is correct.
func searchReplyWith(field string, value any) string {
	body := map[string]any{
		"request": "r1", "attempt": 2, "shard": 3, "snapshot": 7, "from": "a", "to": "b",
		"documents": 9, "hits": []Hit{{Key: "k", Score: 1, Document: "d"}}, "complete": true,
	}
	body[field] = value
	data, _ := json.Marshal(body)
	return httpReply(http.StatusOK, string(data))
}

// httpReply returns a reply of a draining server that serves snapshots 7 and 8.
func httpReply(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n%s: inc-1\r\n%s: 7, 8\r\n%s: 1\r\n\r\n%s",
		status, len(body), HeaderIncarnation, HeaderSnapshots, HeaderDraining, body)
}

// rawServer is a backend server on a raw TCP listener, which allows it to send
// malformed replies. It counts connections and requests.
type rawServer struct {
	net.Listener
	dials, requests atomic.Int32
}

// rawHandler gets the number of the request, from 1, and returns the bytes to write
// and whether to close the connection afterwards.
type rawHandler func(conn net.Conn, n int32, r *http.Request) (reply string, closeAfter bool)

func newRawServer(t testing.TB, handle rawHandler) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &rawServer{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.dials.Add(1)
			t.Cleanup(func() { _ = conn.Close() })
			go s.serve(conn, handle)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, handle rawHandler) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		reply, closeAfter := handle(conn, s.requests.Add(1), r)
		_, _ = io.WriteString(conn, reply)
		if closeAfter {
			_ = conn.Close()
			return
		}
	}
}

func (s *rawServer) address() string { return s.Addr().String() }
