package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/shedding"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
)

// heldForwarder keeps its requests until release is closed.
type heldForwarder struct {
	arrived chan *forward.Request
	release chan struct{}
}

func (h *heldForwarder) Forward(_ context.Context, _ *routing.Table, _ *routing.Route, request *forward.Request) *forward.Answer {
	h.arrived <- request
	<-h.release
	return &forward.Answer{Reply: &forward.Reply{Status: 200}}
}

// unread fails the test when it is read.
type unread struct{ t *testing.T }

func (u unread) Read([]byte) (int, error) {
	u.t.Error("the body was read")
	return 0, io.EOF
}

func memoryGateway(f Forwarder, bound int64) (*Gateway, *shedding.Bytes) {
	routes := []routing.Route{
		{Name: "urgent", Host: "h.example", Prefix: "/urgent/", WeightedServices: []routing.WeightedService{{Service: "s"}}},
		{Name: "full", Host: "h.example", Prefix: "/full/", Priority: 1, WeightedServices: []routing.WeightedService{{Service: "s"}}},
	}
	tables := &stubTables{table: routing.NewTable(1, routes, nil, routing.Limits{MaxBodyBytes: 256 << 10})}
	logger := slog.New(slog.DiscardHandler)
	requests := shedding.NewBytes(func() int64 { return bound })
	recorder := NewRecorder(logger, telemetry.NewRegistry("test"), zeroAge)
	return New(stubCodec{}, tables, f, recorder, requests, NewAnswerWriter(ample, logger)), requests
}

func post(g *Gateway, path string, length int64, body io.Reader) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest("POST", path, body)
	r.Host, r.ContentLength = "h.example", length
	r.Header.Set("Patience", "3s")
	g.ServeHTTP(w, r)
	return w
}

// Guards against memory that grows with the requests of slow servers or callers: beyond the
// bound a request is refused before its body is read, the most urgent last.
func TestBurstOfLargeBodiesStaysWithinTheBound(t *testing.T) {
	const body = 256 << 10
	f := &heldForwarder{arrived: make(chan *forward.Request), release: make(chan struct{})}
	g, requests := memoryGateway(f, 8*(body+requestOverhead))
	done := make(chan int, 8)
	send := func(path string) {
		go func() { done <- post(g, path, body, bytes.NewReader(make([]byte, body))).Code }()
		assert.Equal(t, len((<-f.arrived).Body), body)
	}
	for range 6 {
		send("/full/x")
	}
	refused := post(g, "/full/x", body, unread{t})
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
	assert.Equal(t, strings.TrimSpace(refused.Body.String()), string(forward.NoMemory))
	assert.Assert(t, refused.Header().Get("Retry-After") != "")
	for range 2 {
		send("/urgent/x")
	}
	assert.Equal(t, post(g, "/urgent/x", body, unread{t}).Code, http.StatusServiceUnavailable)
	close(f.release)
	for range 8 {
		assert.Equal(t, <-done, 200)
	}
	assert.Equal(t, requests.Held(), int64(0))
}

// Guards against bodies without a stated length that are not counted, or are read beyond the
// bound or the table's limit.
func TestBodiesOfUnknownLengthAreCounted(t *testing.T) {
	f := &heldForwarder{arrived: make(chan *forward.Request, 1), release: make(chan struct{})}
	close(f.release)
	g, requests := memoryGateway(f, 200<<10)
	content := bytes.Repeat([]byte("abcdefgh"), 4<<10)
	assert.Equal(t, post(g, "/urgent/x", -1, bytes.NewReader(content)).Code, 200)
	assert.DeepEqual(t, (<-f.arrived).Body, content)
	assert.Equal(t, post(g, "/urgent/x", -1, bytes.NewReader(make([]byte, 250<<10))).Code, http.StatusServiceUnavailable)
	g, _ = memoryGateway(f, 8<<20)
	assert.Equal(t, post(g, "/urgent/x", -1, bytes.NewReader(make([]byte, 257<<10))).Code, http.StatusRequestEntityTooLarge)
	assert.Equal(t, requests.Held(), int64(0))
}
