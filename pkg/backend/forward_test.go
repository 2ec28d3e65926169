package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// script answers the requests of a connection; n counts the requests of all
// connections from 0. It returns false to close the connection.
type script func(conn net.Conn, n int, request *http.Request) bool

// rawServer serves a script over loopback and returns a pool for it.
func scriptedServer(t *testing.T, connections int, answer script) *Pool {
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
					if !answer(conn, n, request) {
						return
					}
				}
			}()
		}
	}()
	pool := NewPool(membership.BackendServer{ID: "a", Address: listener.Addr().String()}, Options{Connections: connections, DialTimeout: time.Second})
	t.Cleanup(pool.Close)
	return pool
}

func okReply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func forward(t *testing.T, pool *Pool, id string) (*ForwardReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return pool.Forward(ctx, ForwardCall{
		Method:  "GET",
		Wire:    func() []byte { return []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n") },
		Belongs: func(h http.Header) bool { return h.Get("Id") == id },
	})
}

// Guards against an answer that belongs to another request: a server sends a second
// reply late, where the next one is expected.
func TestExtraReplyIsNotTakenForTheNext(t *testing.T) {
	pool := scriptedServer(t, 1, func(conn net.Conn, n int, request *http.Request) bool {
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

// Guards against reading on with bytes that follow a complete reply.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	pool := scriptedServer(t, 1, func(conn net.Conn, _ int, request *http.Request) bool {
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

// Guards against replies that are cut short or are no replies being taken for whole
// ones; in each case the request may have run.
func TestBrokenRepliesAreErrors(t *testing.T) {
	for name, bytes := range map[string]string{
		"cut body":    "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 10\r\n\r\nabc",
		"cut chunk":   "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"cut header":  "HTTP/1.1 200 OK\r\nId",
		"no protocol": "garbage\r\n\r\n",
		"nothing":     "",
		"other id":    okReply("7", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			pool := scriptedServer(t, 1, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(conn, bytes)
				return false
			})
			_, err := forward(t, pool, "0")
			var failed *ForwardError
			assert.Assert(t, errors.As(err, &failed))
			assert.Assert(t, failed.Sent)
		})
	}
}

// Guards against refusing a reply without a length, which ends with its connection.
func TestReplyWithoutLengthEndsWithItsConnection(t *testing.T) {
	pool := scriptedServer(t, 1, func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 0\r\n\r\nwhole")
		return false
	})
	got, err := forward(t, pool, "0")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Body), "whole")
}

// Guards against taking a connection that was reset in the middle for the end of a
// reply without a length.
func TestResetIsNoEndOfAReply(t *testing.T) {
	pool := scriptedServer(t, 1, func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 0\r\n\r\npart")
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	_, err := forward(t, pool, "0")
	assert.Assert(t, err != nil)
}

// Guards against stating more time than is left after a wait for a connection, and
// against sending a request that nobody needs any more.
func TestRequestIsWrittenWhenTheConnectionIsReady(t *testing.T) {
	release := make(chan struct{})
	pool := scriptedServer(t, 1, func(conn net.Conn, n int, request *http.Request) bool {
		if n == 0 {
			<-release
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
	asked := make(chan struct{}, 1)
	second := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := pool.Forward(ctx, ForwardCall{Method: "GET", Wire: func() []byte {
			asked <- struct{}{}
			return nil
		}})
		second <- err
	}()
	assert.Equal(t, len(asked), 0)
	close(release)
	assert.NilError(t, <-first)
	var failed *ForwardError
	assert.Assert(t, errors.As(<-second, &failed))
	assert.Assert(t, !failed.Sent)
	assert.Equal(t, len(asked), 1)
}

// Guards against a request on a connection that its server is about to close: the
// stated idle timeout is not used up.
func TestStatedIdleTimeoutIsKept(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=10": 7 * time.Second, "max=5, timeout=2": 1400 * time.Millisecond, "": 0, "timeout=x": 0, "timeout=-1": 0,
	} {
		assert.Equal(t, statedIdleLimit(http.Header{"Keep-Alive": {header}}), want, header)
	}
	conn := &connection{lastUse: time.Now().Add(-time.Second), idleLimit: 900 * time.Millisecond}
	assert.Assert(t, !conn.usable())
}

// Guards against calls that wait for a connection that could have been open.
func TestWarmOpensOneConnection(t *testing.T) {
	pool := scriptedServer(t, 2, func(conn net.Conn, _ int, request *http.Request) bool {
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
