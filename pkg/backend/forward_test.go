package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// scriptHandler answers one request on conn. The argument n numbers the requests
// of all connections from 0. It returns false to close the connection.
type scriptHandler func(conn net.Conn, n int, request *http.Request) bool

// poolForScript starts a loopback server that answers with handle and returns a
// pool of connections to it.
func poolForScript(t *testing.T, connections int, handle scriptHandler) *Pool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests := make(chan int, 1)
	requests <- 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					n := <-requests
					requests <- n + 1
					if !handle(conn, n, request) {
						return
					}
				}
			}()
		}
	}()
	pool := NewPool(membership.BackendServer{ID: "a", Address: listener.Addr().String()}, Options{MaxConnections: connections, DialTimeout: time.Second})
	t.Cleanup(pool.Close)
	return pool
}

func okReply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// forward sends a request with the given id, which the reply must repeat.
func forward(t *testing.T, pool *Pool, id string) (*ForwardReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return pool.Forward(ctx, ForwardCall{
		Method:        "GET",
		EncodeRequest: func() []byte { return []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n") },
		MatchesReply:  func(h http.Header) bool { return h.Get("Id") == id },
	})
}

// Guards against returning a reply to another request: the server sends a second
// reply to an earlier request where the reply to the next one is expected.
func TestExtraReplyIsNotTakenForTheNext(t *testing.T) {
	pool := poolForScript(t, 1, func(conn net.Conn, n int, request *http.Request) bool {
		id := request.Header.Get("Id")
		if n == 1 {
			_, _ = io.WriteString(conn, okReply("0", "again"))
		}
		_, _ = io.WriteString(conn, okReply(id, "body "+id))
		return true
	})
	for _, id := range []string{"0", "1", "2"} {
		got, err := forward(t, pool, id)
		assert.NilError(t, err)
		assert.Equal(t, string(got.Body), "body "+id)
	}
}

// Guards against reusing a connection on which bytes follow a complete reply: they
// would be read as the next reply.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	pool := poolForScript(t, 1, func(conn net.Conn, _ int, request *http.Request) bool {
		_, _ = io.WriteString(conn, okReply(request.Header.Get("Id"), "x")+"garbage")
		return true
	})
	for _, id := range []string{"0", "1"} {
		got, err := forward(t, pool, id)
		assert.NilError(t, err)
		assert.Equal(t, string(got.Body), "x")
	}
	open, _ := pool.Stats()
	assert.Equal(t, open, 0)
}

// Guards against accepting truncated, malformed or foreign replies. In each case
// the request may have run, so the error must say that it was sent.
func TestBrokenRepliesAreErrors(t *testing.T) {
	for name, reply := range map[string]string{
		"cut body":    "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 10\r\n\r\nabc",
		"cut chunk":   "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"cut header":  "HTTP/1.1 200 OK\r\nId",
		"no protocol": "garbage\r\n\r\n",
		"nothing":     "",
		"other id":    okReply("7", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			pool := poolForScript(t, 1, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(conn, reply)
				return false
			})
			_, err := forward(t, pool, "0")
			var failed *ForwardError
			assert.Assert(t, errors.As(err, &failed))
			assert.Assert(t, failed.Sent)
		})
	}
}

// Guards against rejecting a reply without a length, which ends where the server
// closes the connection.
func TestReplyWithoutLengthEndsWithItsConnection(t *testing.T) {
	pool := poolForScript(t, 1, func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 0\r\n\r\nwhole")
		return false
	})
	got, err := forward(t, pool, "0")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Body), "whole")
}

// Guards against taking a connection reset for the end of a reply without a
// length, which would return a truncated body.
func TestResetIsNoEndOfAReply(t *testing.T) {
	pool := poolForScript(t, 1, func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 0\r\n\r\npart")
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	_, err := forward(t, pool, "0")
	assert.Assert(t, err != nil)
}

// Guards against encoding a request before its connection is ready, which would
// state more time than is left after the wait, and against sending a request that
// is no longer needed.
func TestRequestIsWrittenWhenTheConnectionIsReady(t *testing.T) {
	answerFirst := make(chan struct{})
	pool := poolForScript(t, 1, func(conn net.Conn, n int, request *http.Request) bool {
		if n == 0 {
			<-answerFirst
		}
		_, _ = io.WriteString(conn, okReply(request.Header.Get("Id"), "x"))
		return true
	})
	first := make(chan error, 1)
	go func() {
		_, err := forward(t, pool, "0")
		first <- err
	}()
	for open, _ := pool.Stats(); open == 0; open, _ = pool.Stats() {
		time.Sleep(time.Millisecond)
	}
	encoded := make(chan struct{}, 1)
	second := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := pool.Forward(ctx, ForwardCall{Method: "GET", EncodeRequest: func() []byte {
			encoded <- struct{}{}
			return nil
		}})
		second <- err
	}()
	assert.Equal(t, len(encoded), 0)
	close(answerFirst)
	assert.NilError(t, <-first)
	var failed *ForwardError
	assert.Assert(t, errors.As(<-second, &failed))
	assert.Assert(t, !failed.Sent)
	assert.Equal(t, len(encoded), 1)
}

// Guards against sending a request on a connection that the server is about to
// close: only a fraction of the stated idle timeout is used.
func TestStatedIdleTimeoutIsKept(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=10": 7 * time.Second, "max=5, timeout=2": 1400 * time.Millisecond, "": 0, "timeout=x": 0, "timeout=-1": 0,
	} {
		assert.Equal(t, usableIdleTime(http.Header{"Keep-Alive": {header}}), want, header)
	}
	conn := &connection{lastUse: time.Now().Add(-time.Second), idleLimit: 900 * time.Millisecond}
	assert.Assert(t, !conn.usable())
}

// Guards against a call that has to wait for a dial although Warm was called, and
// against Warm opening a second connection.
func TestWarmOpensOneConnection(t *testing.T) {
	pool := poolForScript(t, 2, func(conn net.Conn, _ int, request *http.Request) bool {
		_, _ = io.WriteString(conn, okReply(request.Header.Get("Id"), strings.Repeat("x", 9)))
		return true
	})
	for range 2 {
		assert.NilError(t, pool.Warm(context.Background()))
		open, idle := pool.Stats()
		assert.Equal(t, open, 1)
		assert.Equal(t, idle, 1)
	}
	_, err := forward(t, pool, "0")
	assert.NilError(t, err)
	open, _ := pool.Stats()
	assert.Equal(t, open, 1)
}

// Guards against a call that waits for a connection to a server that has begun to leave, and
// against a wait that takes a connection away from other calls when it ends.
func TestWaitEndsWhenTheServerLeaves(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 2)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	}))
	defer server.Close()
	pool := NewPool(membership.BackendServer{ID: "a", Address: server.Listener.Addr().String()}, Options{MaxConnections: 1})
	defer pool.Close()
	call := ForwardCall{Method: "GET", EncodeRequest: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") }}
	results := make(chan error, 2)
	forward := func(call ForwardCall) {
		_, err := pool.Forward(t.Context(), call)
		results <- err
	}
	go forward(call)
	<-started
	leaves := make(chan struct{})
	waiting := call
	waiting.Leaves = leaves
	go forward(waiting)
	time.Sleep(20 * time.Millisecond)
	close(leaves)
	var failed *ForwardError
	assert.Assert(t, errors.As(<-results, &failed))
	assert.Assert(t, !failed.Sent)
	assert.Equal(t, failed.Detail, "backend server leaves")
	go forward(call)
	time.Sleep(20 * time.Millisecond)
	close(release)
	assert.NilError(t, <-results)
	assert.NilError(t, <-results)
}

// Guards against an idle timeout that overflows: a stated timeout of 1e10 s or more became
// a negative or arbitrary time.
func TestStatedIdleTimeIsBounded(t *testing.T) {
	longest := usableIdleTime(http.Header{"Keep-Alive": {"timeout=86400"}})
	assert.Assert(t, longest > 0)
	for value, want := range map[string]time.Duration{
		"timeout=10": 7 * time.Second, "max=5, timeout=10": 7 * time.Second, "timeout=-1": 0, "timeout=x": 0, "": 0,
		"timeout=9223372036854775807": longest, "timeout=20000000000": longest, "timeout=99999999999999999999": 0,
	} {
		assert.Equal(t, usableIdleTime(http.Header{"Keep-Alive": {value}}), want, value)
	}
}
