package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// rawServer accepts connections and passes each request with its ordinal
// number to handle, which may write, close or stay silent. handle returns
// false to stop reading from the connection without closing it.
type rawServer struct {
	listener net.Listener
	dials    atomic.Int32
	requests atomic.Int32
}

func newRawServer(t testing.TB, handle func(conn net.Conn, n int32, r *http.Request) bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	s := &rawServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept(t, handle)
	return s
}

func (s *rawServer) accept(t testing.TB, handle func(net.Conn, int32, *http.Request) bool) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.dials.Add(1)
		t.Cleanup(func() { _ = conn.Close() })
		go s.serve(conn, handle)
	}
}

func (s *rawServer) serve(conn net.Conn, handle func(net.Conn, int32, *http.Request) bool) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !handle(conn, s.requests.Add(1), r) {
			return
		}
	}
}

func (s *rawServer) address() string { return s.listener.Addr().String() }
