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
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
)

// stubCodec names its fields as no platform does.
type stubCodec struct{}

func (stubCodec) Stated(h http.Header) (string, time.Duration) {
	patience, _ := time.ParseDuration(h.Get("Patience"))
	return h.Get("Id"), patience
}

func (stubCodec) Merged(h http.Header, m *forward.Merged) {
	h.Set("Parts", strings.Join(m.Proofs, " "))
}

// stubTables has a table, and another one that a confirmation finds.
type stubTables struct {
	table, newer *routing.Table
	confirmed    bool
	asked        int
}

func (s *stubTables) Table() *routing.Table { return s.table }

func (s *stubTables) Confirm(context.Context) (*routing.Table, bool) {
	s.asked++
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

func gatewayOver(tables Tables, f Forwarder) *Gateway {
	recorder := NewRecorder(slog.New(slog.DiscardHandler), telemetry.NewRegistry("test"), func() time.Duration { return 0 })
	return New(stubCodec{}, tables, f, recorder)
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

// Guards against 404 for a route that was just added: only a confirmed table says
// that there is none.
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
			w := get(gatewayOver(c.tables, okForwarder()), "/b/1")
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, w.Header().Get("Retry-After") != "", c.status == 503)
			assert.Equal(t, c.tables.asked, 1)
		})
	}
}

// Guards against a confirmation for each request on a known route.
func TestKnownRouteNeedsNoConfirmation(t *testing.T) {
	tables := &stubTables{table: tableWith(1, "/a/")}
	assert.Equal(t, get(gatewayOver(tables, okForwarder()), "/a/1").Code, 200)
	assert.Equal(t, tables.asked, 0)
}

// Guards against promises that are not kept: 503 only for what has not run.
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

// Guards against Retry-After beside an answer that promises nothing.
func TestRetryAfterOnlyWhenNotRun(t *testing.T) {
	f := &stubForwarder{answer: &forward.Answer{Refusal: &forward.Refusal{Reason: forward.ServersRefused, NotRun: true, RetryAfter: 150 * time.Millisecond}}}
	tables := &stubTables{table: tableWith(1, "/a/")}
	assert.Equal(t, get(gatewayOver(tables, f), "/a/1").Header().Get("Retry-After"), "0.150")
	f.answer.Refusal.NotRun = false
	assert.Equal(t, get(gatewayOver(tables, f), "/a/1").Header().Get("Retry-After"), "")
}

// Guards against a body beyond the operator's limit, stated or not.
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
			gatewayOver(tables, f).ServeHTTP(w, r)
			assert.Equal(t, w.Code, want)
			if want == 200 {
				assert.Equal(t, len(f.request.Body), size)
			}
		}
	}
}

// Guards against a request or an answer that is changed on the way, over a real
// connection: path, repeated and unknown fields, a missing content type.
func TestRequestAndAnswerAreUnchanged(t *testing.T) {
	f := &stubForwarder{answer: &forward.Answer{Reply: &forward.Reply{Status: 207, Header: http.Header{"X-Own": {"1", "2"}}, Body: []byte("<html>")}}}
	g := gatewayOver(&stubTables{table: tableWith(1, "/a/")}, f)
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

// Guards against closing a connection that callers may still use, and against
// keeping idle ones for ever.
func TestIdleConnectionsAreClosedAfterTheTimeoutInForce(t *testing.T) {
	closer := NewIdleCloser(func() time.Duration { return time.Hour })
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	closer.ConnState(here, http.StateIdle)
	assert.Equal(t, len(closer.idles), 1)
	closer.ConnState(here, http.StateActive)
	assert.Equal(t, len(closer.idles), 0)
	closer.ConnState(here, http.StateIdle)
	closer.close(here)
	_, err := there.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
