package gateway

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/shedding"
	"github.com/sycamorelift/sycamorelift/pkg/socket"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
)

// stubCodec uses header names that no platform uses, which shows that the gateway
// takes all names from its codec.
type stubCodec struct{}

func (stubCodec) ReadRequestFields(h http.Header) (string, time.Duration) {
	callerTimeout, _ := time.ParseDuration(h.Get("Patience"))
	return h.Get("Id"), callerTimeout
}

func (stubCodec) SetMergedFields(h http.Header, m *forward.Merged) {
	h.Set("Parts", strings.Join(m.Proofs, " "))
}

// stubTables returns table until Confirm replaces it by newer, if newer is set.
type stubTables struct {
	table, newer  *routing.Table
	confirmed     bool
	confirmations int
}

func (s *stubTables) Table() *routing.Table { return s.table }

func (s *stubTables) Confirm(context.Context) (*routing.Table, bool) {
	s.confirmations++
	if s.newer != nil {
		s.table = s.newer
	}
	return s.table, s.confirmed
}

type stubForwarder struct {
	request *forward.Request
	answer  *forward.Answer
}

func (s *stubForwarder) Forward(_ context.Context, _ *routing.Table, _ *routing.Route, request *forward.Request) *forward.Answer {
	s.request = request
	return s.answer
}

func tableWith(version int64, prefixes ...string) *routing.Table {
	var routes []routing.Route
	for _, prefix := range prefixes {
		routes = append(routes, routing.Route{Name: prefix, Host: "h.example", Prefix: prefix, WeightedServices: []routing.WeightedService{{Service: "s"}}})
	}
	return routing.NewTable(version, routes, nil, routing.Limits{MaxBodyBytes: 10})
}

func ample() int64 { return 1 << 30 }

func newTestGateway(tables Tables, f Forwarder) *Gateway {
	recorder := NewRecorder(slog.New(slog.DiscardHandler), telemetry.NewRegistry("test"), func() time.Duration { return 0 })
	return New(stubCodec{}, tables, f, recorder, shedding.NewBytes(ample), NewAnswerWriter(ample, slog.New(slog.DiscardHandler)))
}

func get(g *Gateway, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest("GET", path, nil)
	r.Host = "h.example"
	g.ServeHTTP(w, r)
	return w
}

func okForwarder() *stubForwarder {
	return &stubForwarder{answer: &forward.Answer{Reply: &forward.Reply{Status: 200, Body: []byte("x")}}}
}

// Guards against 404 for a route that was just added. The gateway may answer 404
// only after the table has been confirmed.
func TestRequestWithoutRoute(t *testing.T) {
	for _, c := range []struct {
		name   string
		tables *stubTables
		status int
	}{
		{"confirmed table has no route", &stubTables{table: tableWith(1, "/a/"), confirmed: true}, 404},
		{"newer table has the route", &stubTables{table: tableWith(1, "/a/"), newer: tableWith(2, "/b/"), confirmed: true}, 200},
		{"table cannot be confirmed", &stubTables{table: tableWith(1, "/a/")}, 503},
		{"no table yet", &stubTables{}, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := get(newTestGateway(c.tables, okForwarder()), "/b/1")
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, w.Header().Get("Retry-After") != "", c.status == 503)
			assert.Equal(t, c.tables.confirmations, 1)
		})
	}
}

// Guards against confirming the table for each request although the current table
// has a route for it.
func TestKnownRouteNeedsNoConfirmation(t *testing.T) {
	tables := &stubTables{table: tableWith(1, "/a/")}
	assert.Equal(t, get(newTestGateway(tables, okForwarder()), "/a/1").Code, 200)
	assert.Equal(t, tables.confirmations, 0)
}

// Guards against 503 for a request that may have run, since this status promises the
// caller that no backend server has run it.
func TestStatusOfRefusals(t *testing.T) {
	for reason, want := range map[forward.Reason][2]int{ // not run, may have run
		forward.NoServer: {503, 502}, forward.ServersRefused: {503, 502}, forward.TooFewShards: {503, 502},
		forward.TimedOut: {503, 504}, forward.AnswerLost: {503, 502},
		forward.NoTable: {503, 502}, forward.ViewUnconfirmed: {503, 502},
		forward.NoRoute: {404, 404}, forward.BodyTooLarge: {413, 413}, forward.BadRequest: {400, 400}, forward.CallerLeft: {503, 502},
	} {
		assert.Equal(t, refusalStatus(&forward.Refusal{Reason: reason, NotRun: true}), want[0], "%s", reason)
		assert.Equal(t, refusalStatus(&forward.Refusal{Reason: reason}), want[1], "%s", reason)
	}
}

// Guards against Retry-After in an answer to a request that may have run, which
// would invite the caller to repeat it.
func TestRetryAfterOnlyWhenNotRun(t *testing.T) {
	f := &stubForwarder{answer: &forward.Answer{Refusal: &forward.Refusal{Reason: forward.ServersRefused, NotRun: true, RetryAfter: 150 * time.Millisecond}}}
	tables := &stubTables{table: tableWith(1, "/a/")}
	assert.Equal(t, get(newTestGateway(tables, f), "/a/1").Header().Get("Retry-After"), "0.150")
	f.answer.Refusal.NotRun = false
	assert.Equal(t, get(newTestGateway(tables, f), "/a/1").Header().Get("Retry-After"), "")
}

// Guards against accepting a body above the operator's limit, with a Content-Length
// or chunked.
func TestBodyLimit(t *testing.T) {
	tables := &stubTables{table: tableWith(1, "/a/")}
	for _, chunked := range []bool{false, true} {
		for size, want := range map[int]int{10: 200, 11: 413} {
			f := okForwarder()
			r := httptest.NewRequest("POST", "/a/1", strings.NewReader(strings.Repeat("x", size)))
			r.Host = "h.example"
			if chunked {
				r.ContentLength = -1
			}
			w := httptest.NewRecorder()
			newTestGateway(tables, f).ServeHTTP(w, r)
			assert.Equal(t, w.Code, want)
			if want == 200 {
				assert.Equal(t, len(f.request.Body), size)
			}
		}
	}
}

// Guards against changes to a request or an answer between caller and backend
// server: the escaped path, repeated and unknown header fields, and a Content-Type
// that net/http would add. Only a real connection shows these.
func TestRequestAndAnswerAreUnchanged(t *testing.T) {
	f := &stubForwarder{answer: &forward.Answer{Reply: &forward.Reply{Status: 207, Header: http.Header{"X-Own": {"1", "2"}}, Body: []byte("<html>")}}}
	g := newTestGateway(&stubTables{table: tableWith(1, "/a/")}, f)
	server := httptest.NewServer(g)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /a/%2f//x?q=%41&q HTTP/1.1\r\nHost: h.example\r\nId: 7\r\nPatience: 1s\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=3\r\nX-End: a\r\nX-End: b\r\n\r\n")
	assert.NilError(t, err)
	reply, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, f.request.Target, "/a/%2f//x?q=%41&q")
	assert.Equal(t, f.request.ID, "7")
	assert.Equal(t, f.request.Deadline.Sub(f.request.Arrived), time.Second)
	assert.DeepEqual(t, f.request.Header, http.Header{"Id": {"7"}, "Patience": {"1s"}, "X-End": {"a", "b"}})
	text := string(reply)
	assert.Assert(t, strings.HasPrefix(text, "HTTP/1.1 207 "), text)
	assert.Assert(t, strings.Contains(text, "X-Own: 1\r\nX-Own: 2\r\n"), text)
	assert.Assert(t, !strings.Contains(text, "Content-Type"), text)
	assert.Assert(t, strings.HasSuffix(text, "\r\n\r\n<html>"), text)
}

// Guards against closing a connection that has become active again, and against
// never closing an idle one.
func TestIdleConnectionsAreClosedAfterTheTimeoutInForce(t *testing.T) {
	closer := NewIdleCloser(func() time.Duration { return time.Hour })
	serverConn, clientConn := net.Pipe()
	defer serverConn.Close()
	defer clientConn.Close()
	closer.ConnState(serverConn, http.StateIdle)
	assert.Equal(t, len(closer.idleTimers), 1)
	closer.ConnState(serverConn, http.StateActive)
	assert.Equal(t, len(closer.idleTimers), 0)
	closer.ConnState(serverConn, http.StateIdle)
	closer.close(serverConn)
	_, err := clientConn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against a planned stop that closes a connection on which a request has just
// arrived, and against idle connections that stay open after it.
func TestCloseAllKeepsConnectionsWithRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	connect := func() (server, client net.Conn) {
		client, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		server, err = listener.Accept()
		assert.NilError(t, err)
		return server, client
	}
	closer := NewIdleCloser(func() time.Duration { return time.Hour })
	busyServer, busyClient := connect()
	quietServer, quietClient := connect()
	laterServer, laterClient := connect()
	for _, conn := range []net.Conn{busyServer, busyClient, quietServer, quietClient, laterServer, laterClient} {
		defer conn.Close()
	}
	closer.ConnState(busyServer, http.StateIdle)
	closer.ConnState(quietServer, http.StateIdle)
	_, err = busyClient.Write([]byte("GET"))
	assert.NilError(t, err)
	for socket.IsQuiet(busyServer) {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	closer.CloseAll(ctx)
	assert.ErrorIs(t, ctx.Err(), context.DeadlineExceeded) // the request has not been read
	closer.ConnState(busyServer, http.StateActive)
	closer.CloseAll(t.Context()) // returns at once
	closer.ConnState(laterServer, http.StateIdle)
	for _, client := range []net.Conn{quietClient, laterClient} {
		_, err = client.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	}
	got := make([]byte, 3)
	_, err = io.ReadFull(busyServer, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "GET")
}
