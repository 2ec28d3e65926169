package gateway

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func zeroAge() time.Duration { return 0 }

// Guards against memory held for callers that do not read their answers, and against cutting off
// one that reads, or the answer of a new request.
func TestSlowestReaderIsCutOffFirst(t *testing.T) {
	var log bytes.Buffer
	a := NewAnswerWriter(func() int64 { return 100 }, slog.New(slog.NewTextHandler(&log, nil)))
	now := time.Unix(100, 0)
	begin := func(id string, size, written int64) *writing {
		entry := &writing{id: id, controller: http.NewResponseController(httptest.NewRecorder()), began: now, size: size, written: written}
		a.begin(entry)
		return entry
	}
	slow, stopped, quick := begin("slow", 30, 10), begin("stopped", 30, 0), begin("quick", 30, 20)
	assert.Equal(t, a.Held(), int64(90))
	now = now.Add(2 * minWriting)
	fresh := begin("fresh", 60, 0)
	assert.Assert(t, stopped.cut && slow.cut && !quick.cut && !fresh.cut)
	assert.Assert(t, strings.Index(log.String(), "stopped") < strings.Index(log.String(), "request_id=slow"), log.String())
	begin("new", 500, 0)
	assert.Assert(t, quick.cut && !fresh.cut, "a ready answer is always written")
	for _, entry := range []*writing{slow, stopped, quick, fresh} {
		a.end(entry)
	}
	assert.Equal(t, a.Held(), int64(500))
}

// Guards against a reader that is cut off only in the books: its write must end, and the
// connections of others stay usable.
func TestCutOffEndsTheWrite(t *testing.T) {
	a := NewAnswerWriter(func() int64 { return 32 << 20 }, slog.New(slog.DiscardHandler))
	var later atomic.Bool
	a.now = func() time.Time {
		if later.Load() {
			return time.Now().Add(time.Hour)
		}
		return time.Now()
	}
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/large" {
			w.Header().Set("Content-Length", "5")
			_ = a.Write(w, "small", []byte("small"))
			return
		}
		ended <- a.Write(w, "large", make([]byte, 32<<20)) // more than the socket buffers hold
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET /large HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	for a.Held() == 0 {
		runtime.Gosched()
	}
	later.Store(true)
	for range 2 {
		response, err := http.Get(server.URL + "/small")
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.ContentLength, int64(5))
	}
	select {
	case err = <-ended:
		assert.ErrorContains(t, err, "timeout")
	case <-time.After(readTimeout / 2):
		t.Fatal("the write goes on")
	}
}
