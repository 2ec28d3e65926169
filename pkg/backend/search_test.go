package backend

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// Guards against missing request headers, a trace that ends at the owner, and
// results without the server state of the reply's headers.
func TestSearchCarriesHeadersBothWays(t *testing.T) {
	var got http.Header
	server := newRawServer(t, func(_ net.Conn, _ int32, r *http.Request) (string, bool) {
		got = r.Header
		return searchReplyWith("documents", 9), false
	})
	pool := poolFor(t, server.address(), Options{Zone: "z1"})
	parent := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, Remote: true})
	result, err := pool.Search(trace.ContextWithRemoteSpanContext(testContext(t), parent), testCall)
	assert.NilError(t, err)
	assert.Equal(t, result.Documents, int64(9), "documents")
	assert.Equal(t, result.Incarnation, "inc-1", "incarnation")
	assert.Assert(t, result.Draining, "draining")
	assert.Assert(t, slices.Equal(result.Snapshots, []int64{7, 8}), "snapshots")
	for name, want := range map[string]string{
		HeaderRequest: "r1", HeaderAttempt: "2", HeaderShard: "3", HeaderSnapshot: "7", HeaderZone: "z1",
		"traceparent": "00-01000000000000000000000000000000-0200000000000000-00",
	} {
		assert.Equal(t, got.Get(name), want, name)
	}
	assert.Assert(t, got.Get(HeaderTimeout) != "", "timeout header present")
	wantStats(t, pool, 1, 1)
}

// Guards against a wrong status or run state when the connection breaks or the
// reply is truncated, too large or belongs to another call, and against reusing
// such a connection.
func TestSearchFaults(t *testing.T) {
	validReply := searchReplyWith("documents", 9)
	brokenReplies := map[string]string{
		"truncated header":       validReply[:20],
		"truncated body":         validReply[:len(validReply)-3],
		"no content length":      strings.Replace(validReply, "Content-Length", "X", 1),
		"complete missing":       searchReplyWith("complete", false),
		"another request":        searchReplyWith("request", "r0"),
		"another attempt":        searchReplyWith("attempt", 1),
		"another shard":          searchReplyWith("shard", 0),
		"another snapshot":       searchReplyWith("snapshot", 8),
		"reply above size limit": searchReplyWith("from", strings.Repeat("x", 8<<10)),
		"":                       "", // closed without reply
	}
	for name, reply := range brokenReplies {
		server := newRawServer(t, func(net.Conn, int32, *http.Request) (string, bool) {
			return reply, !strings.HasPrefix(name, "another")
		})
		pool := poolFor(t, server.address(), Options{MaxReplyBytes: 4 << 10})
		_, err := pool.Search(testContext(t), testCall)
		status := peerpb.ResultStatus_INVALID_REPLY
		if reply == "" {
			status = peerpb.ResultStatus_UNREACHABLE // the server still accepts connections
		}
		t.Log(name)
		wantFailure(t, err, status, runUnknown)
		wantStats(t, pool, 0, 0)
	}
}

// Guards against treating a refused dial as a crash or as a request that may have
// run.
func TestRefusedDialIsNotRun(t *testing.T) {
	server := newRawServer(t, nil)
	_ = server.Close()
	pool := poolFor(t, server.address(), Options{})
	_, err := pool.Search(testContext(t), testCall)
	wantFailure(t, err, peerpb.ResultStatus_UNREACHABLE, noRun)
	wantStats(t, pool, 0, 0)
}

// Guards against opening more connections than the instance's quota for the
// backend server, and against keeping surplus connections open when the quota
// falls.
func TestConnectionQuota(t *testing.T) {
	var running, maxRunning atomic.Int32
	server := newRawServer(t, func(net.Conn, int32, *http.Request) (string, bool) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		time.Sleep(time.Millisecond) // lets calls overlap
		running.Add(-1)
		return searchReplyWith("documents", 9), false
	})
	pool := poolFor(t, server.address(), Options{MaxConnections: 3})
	searchConcurrently(t, pool, 30)
	if server.dials.Load() > 3 || maxRunning.Load() > 3 {
		t.Fatalf("%d dials, %d requests at once", server.dials.Load(), maxRunning.Load())
	}
	pool.SetMaxConnections(1)
	wantStats(t, pool, 1, 1)
	pool.SetMaxConnections(0)
	_, err := pool.Search(testContext(t), testCall)
	wantFailure(t, err, peerpb.ResultStatus_UNREACHABLE, noRun)
}

// Guards against requests that keep running at the server after the caller has
// cancelled them: cancellation has to close the connection.
func TestCancellationReachesServer(t *testing.T) {
	ctx, cancel := context.WithCancel(testContext(t))
	cancelled := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// net/http watches for a closed connection once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		select {
		case <-r.Context().Done():
			cancelled <- true
		case <-time.After(testTimeout / 2):
			cancelled <- false
		}
	}))
	t.Cleanup(server.Close)
	pool := poolFor(t, server.Listener.Addr().String(), Options{})
	_, err := pool.Search(ctx, testCall)
	wantFailure(t, err, peerpb.ResultStatus_DEADLINE, runUnknown)
	assert.Assert(t, errors.Is(err, context.Canceled), "cancelled")
	assert.Assert(t, <-cancelled, "cancellation seen by the server")
	wantStats(t, pool, 0, 0)
}

// Guards against TLS connections that are never reused, because session tickets
// and alerts arrive on the socket outside replies and look like unread input, and
// against accepting a server whose certificate is not verified.
func TestTLSConnectionIsVerifiedAndReused(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, body, _ := strings.Cut(searchReplyWith("documents", 9), "\r\n\r\n")
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	trusted := &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS13}
	trusted.RootCAs.AddCert(server.Certificate())
	pool := poolFor(t, server.Listener.Addr().String(), Options{TLS: trusted})
	for range 3 {
		searchConcurrently(t, pool, 1)
		wantStats(t, pool, 1, 1)
		assert.Assert(t, pool.idle[0].usable(), "usable")
	}
	pool = poolFor(t, server.Listener.Addr().String(), Options{TLS: &tls.Config{MinVersion: tls.VersionTLS13}})
	_, err := pool.Search(testContext(t), testCall)
	wantFailure(t, err, peerpb.ResultStatus_UNREACHABLE, noRun)
}

// Guards against a search that waits for a connection and reaches its server after that has
// begun to leave, and against a connection that is lost when the search is not sent.
func TestSearchIsNotSentToServerThatLeaves(t *testing.T) {
	reached := make(chan struct{}, 4)
	release := make(chan struct{})
	server := newRawServer(t, func(_ net.Conn, _ int32, _ *http.Request) (string, bool) {
		reached <- struct{}{}
		<-release
		return searchReplyWith("documents", 9), false
	})
	pool := poolFor(t, server.address(), Options{})
	pool.SetMaxConnections(1)
	first := make(chan error, 1)
	go func() {
		_, err := pool.Search(testContext(t), testCall)
		first <- err
	}()
	<-reached
	var leaves atomic.Bool
	waiting := testCall
	waiting.MaySend = func() bool { return !leaves.Load() }
	second := make(chan error, 1)
	go func() {
		_, err := pool.Search(testContext(t), waiting)
		second <- err
	}()
	time.Sleep(20 * time.Millisecond)
	leaves.Store(true)
	close(release)
	assert.NilError(t, <-first)
	failure := wantFailure(t, <-second, peerpb.ResultStatus_DRAINING, peerpb.RunState_RUN_STATE_NOT_RUN)
	assert.Assert(t, failure.Draining)
	assert.Equal(t, len(reached), 0)
	wantStats(t, pool, 1, 1)
}
