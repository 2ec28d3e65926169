package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// testTimeout only ends a test that hangs.
const testTimeout = 5 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// newTestPool returns a pool for an HTTP fake.
func newTestPool(t *testing.T, handler http.HandlerFunc, opts Options) *Pool {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return poolFor(t, strings.TrimPrefix(server.URL, "http://"), opts)
}

func poolFor(t testing.TB, address string, opts Options) *Pool {
	t.Helper()
	if opts.Connections == 0 {
		opts.Connections = 2
	}
	pool := NewPool(membership.BackendServer{ID: "b1", Address: address}, opts)
	t.Cleanup(pool.Close)
	return pool
}

var testCall = SearchCall{Request: "r1", Attempt: 2, Shard: 3, Snapshot: 7, Query: "q", Limit: 5}

// echo is the correct reply to a search, with changes.
func echo(changes map[string]any) []byte {
	body := map[string]any{
		"request": "r1", "attempt": 2, "shard": 3, "snapshot": 7, "from": "a", "to": "b",
		"documents": 9, "hits": []Hit{{Key: "k", Score: 1, Document: "d"}}, "complete": true,
	}
	for k, v := range changes {
		body[k] = v
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// rawReply is an HTTP reply for raw listeners.
func rawReply(body []byte) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: inc-1\r\n\r\n%s", len(body), HeaderIncarnation, body)
}
