package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// Guards against more connections than this instance's quota of the backend
// server, and against surplus ones that stay open when the quota falls.
func TestConnectionQuota(t *testing.T) {
	var open, most atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Millisecond) // lets calls overlap
		_, _ = w.Write(echo(nil))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			most.Store(max(most.Load(), open.Add(1)))
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	pool := poolFor(t, server.Listener.Addr().String(), Options{Connections: 3})
	searchTogether(t, pool, 30)
	if got := most.Load(); got < 1 || got > 3 {
		t.Fatalf("%d connections", got)
	}
	pool.SetConnections(1)
	left, _ := pool.Stats()
	equal(t, "open after lowering", left, 1)
	pool.SetConnections(0)
	_, err := pool.Search(testContext(t), testCall)
	equal(t, "run", failure(t, err).Run, peerpb.RunState_RUN_STATE_NOT_RUN)
}

// Guards against requests that keep running at the server after the caller has
// gone: cancellation has to close the connection.
func TestCancellationReachesServer(t *testing.T) {
	ctx, cancel := context.WithCancel(testContext(t))
	seen := make(chan bool, 1)
	pool := newTestPool(t, func(_ http.ResponseWriter, r *http.Request) {
		// net/http watches for a closed connection once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		select {
		case <-r.Context().Done():
			seen <- true
		case <-time.After(testTimeout / 2):
			seen <- false
		}
	}, Options{})
	_, err := pool.Search(ctx, testCall)
	equal(t, "status", failure(t, err).Status, peerpb.ResultStatus_DEADLINE)
	equal(t, "run", failure(t, err).Run, peerpb.RunState_RUN_STATE_UNKNOWN)
	equal(t, "cancelled", errors.Is(err, context.Canceled), true)
	equal(t, "cancellation seen by the server", <-seen, true)
	open, _ := pool.Stats()
	equal(t, "open", open, 0)
}

// Guards against a trace that ends at the owner.
func TestTraceIsPropagated(t *testing.T) {
	parent := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, Remote: true})
	var got string
	pool := newTestPool(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Get("traceparent")
		_, _ = w.Write(echo(nil))
	}, Options{})
	_, err := pool.Search(trace.ContextWithRemoteSpanContext(testContext(t), parent), testCall)
	noError(t, err)
	equal(t, "traceparent", got, "00-01000000000000000000000000000000-0200000000000000-00")
}
