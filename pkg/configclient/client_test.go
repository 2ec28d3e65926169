package configclient

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// newFixedReplyClient returns a client of a service that answers every call with
// the same reply.
func newFixedReplyClient(t *testing.T, status int, etag string, body []byte) *Client {
	handler := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", etag)
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}
	server := httptest.NewServer(http.HandlerFunc(handler))
	t.Cleanup(server.Close)
	return New(server.URL+"/", server.Client())
}

// TestGet guards against an error reply or a malformed reply that is accepted as a
// document, and against a value over the size limit that is truncated instead of
// rejected.
func TestGet(t *testing.T) {
	ctx := context.Background()
	document, err := newFixedReplyClient(t, 200, `"42"`, []byte("x")).Get(ctx, testKey)
	if err != nil || document.Revision != 42 || string(document.Data) != "x" {
		t.Errorf("got %v, %v", document, err)
	}
	var notFound *NotFoundError
	if _, err := newFixedReplyClient(t, 404, "", nil).Get(ctx, testKey); !errors.As(err, &notFound) {
		t.Errorf("404: %v", err)
	}
	var rateLimited *RateLimitedError
	if _, err := newFixedReplyClient(t, 429, "", nil).Get(ctx, testKey); !errors.As(err, &rateLimited) {
		t.Errorf("429: %v", err)
	}
	var badReply *BadReplyError
	if _, err := newFixedReplyClient(t, 200, `"x"`, nil).Get(ctx, testKey); !errors.As(err, &badReply) {
		t.Errorf("bad ETag: %v", err)
	}
	large := bytes.Repeat([]byte("x"), MaxDocumentBytes+1)
	if _, err := newFixedReplyClient(t, 200, `"1"`, large).Get(ctx, testKey); !errors.As(err, &badReply) {
		t.Errorf("large value: %v", err)
	}
}

// testKey has an element that needs escaping in a URL path.
const testKey = "index/a b/c"

// TestPaths guards against requests in which the service sees another key or other
// parameters than the client was called with.
func TestPaths(t *testing.T) {
	var paths []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths = append(paths, r.URL.RequestURI())
		w.WriteHeader(http.StatusNotModified)
	}))
	defer server.Close()
	client := New(server.URL, server.Client())
	_, _ = client.Get(context.Background(), testKey)
	reply, err := client.Watch(context.Background(), 7, 30*time.Second)
	if err != nil || reply.Revision != 7 || len(reply.KeyRevisions) != 0 {
		t.Errorf("304: %v, %v", reply, err)
	}
	if paths[0] != "/v1/keys/index/a%20b/c" || paths[1] != "/v1/watch?after=7&wait=30s" {
		t.Errorf("paths %q", paths)
	}
}

// TestWatch guards against a malformed reply that is treated as a reply without
// changes.
func TestWatch(t *testing.T) {
	ctx := context.Background()
	client := newFixedReplyClient(t, 200, "", []byte(`{"revision": 9, "keys": {"bundle": 7}}`))
	reply, err := client.Watch(ctx, 1, 0)
	if err != nil || reply.Revision != 9 || reply.KeyRevisions["bundle"] != 7 {
		t.Errorf("got %v, %v", reply, err)
	}
	var badReply *BadReplyError
	if _, err := newFixedReplyClient(t, 200, "", []byte(`{"revision"`)).Watch(ctx, 1, 0); !errors.As(err, &badReply) {
		t.Errorf("malformed: %v", err)
	}
}

// TestBackoff guards against delays outside the range of the jitter, which keeps
// instances from retrying at the same time, and against an unbounded delay.
func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	b := Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	for failures := 1; failures < 80; failures++ {
		full := min(b.Max, b.Base<<min(failures-1, 10))
		if d := b.Delay(failures, random); d < full/2 || d > full {
			t.Errorf("delay %v after %d failures", d, failures)
		}
	}
}
