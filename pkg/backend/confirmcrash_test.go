package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"gotest.tools/v3/assert"
)

// newAbortingServer starts a server that closes the connection of every search
// without a reply and answers pings, and returns its address. If restarts is set,
// each search starts a new incarnation.
func newAbortingServer(t *testing.T, restarts bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var incarnation atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/ping", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderIncarnation, string(rune('a'+incarnation.Load())))
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/v1/search", func(http.ResponseWriter, *http.Request) {
		if restarts {
			incarnation.Add(1)
		}
		panic(http.ErrAbortHandler)
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// failedSearchStatus returns the status of a search that must fail.
func failedSearchStatus(t *testing.T, address string) peerpb.ResultStatus {
	t.Helper()
	pool := NewPool(membership.BackendServer{ID: "s", Address: address}, Options{MaxConnections: 2})
	defer pool.Close()
	pool.recordIncarnation("a")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := pool.Search(ctx, SearchCall{Request: "r", Attempt: 1, Snapshot: 1})
	var failure *CallError
	assert.Assert(t, errors.As(err, &failure))
	return failure.Status
}

// Guards against quarantining a harmless request because a healthy backend server
// closed a connection, for example at its connection limit.
func TestClosedConnectionIsNoCrash(t *testing.T) {
	assert.Equal(t, failedSearchStatus(t, newAbortingServer(t, false)), peerpb.ResultStatus_UNREACHABLE)
}

// Guards against missing a crash because the server restarted before the ping.
func TestRestartIsACrash(t *testing.T) {
	assert.Equal(t, failedSearchStatus(t, newAbortingServer(t, true)), peerpb.ResultStatus_CRASHED)
}
