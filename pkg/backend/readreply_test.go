package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// invalidReplies are bytes that are no reply of a server, by what is wrong with them.
var invalidReplies = map[string]string{
	"status 000":                   "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok",
	"status 099":                   "HTTP/1.1 099 x\r\nContent-Length: 2\r\n\r\nok",
	"status 600":                   "HTTP/1.1 600 x\r\nContent-Length: 2\r\n\r\nok",
	"status 999":                   "HTTP/1.1 999 x\r\nContent-Length: 2\r\n\r\nok",
	"protocol switch":              "HTTP/1.1 101 x\r\nUpgrade: y\r\nConnection: upgrade\r\n\r\n",
	"conflicting lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	"equal lengths":                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\ncontent-length: 2\r\n\r\nok",
	"list of lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
	"signed length":                "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
	"length and chunks":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"folded line":                  "HTTP/1.1 200 OK\r\nX:\r\n Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	"chunks of HTTP/1.0":           "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"other version":                "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"large header":                 "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeadBytes) + "\r\nContent-Length: 2\r\n\r\nok",
	"many fields":                  "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", maxHeadBytes/6) + "Content-Length: 2\r\n\r\nok",
	"no status line":               "\r\nContent-Length: 2\r\n\r\nok",
	"length beyond the reply size": "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\nok",
}

// Guards against taking bytes of a server in trouble for its reply: status 000 counted as an
// answer of a healthy server, and 999 reached callers. The connection must carry no other call.
func TestInvalidRepliesAreFailedCalls(t *testing.T) {
	for name, wire := range invalidReplies {
		for _, client := range []string{"forward", "own protocol"} {
			t.Run(name+", "+client, func(t *testing.T) {
				pool := poolForScript(t, 1, func(conn net.Conn, _ int, _ *http.Request) bool {
					_, _ = io.WriteString(conn, wire)
					return true
				})
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				if client == "own protocol" {
					_, err := pool.ping(ctx)
					var failed *CallError
					assert.Assert(t, errors.As(err, &failed), "%v", err)
					assert.Equal(t, failed.Status, peerpb.ResultStatus_INVALID_REPLY)
					assert.Equal(t, failed.RunState, peerpb.RunState_RUN_STATE_UNKNOWN)
				} else {
					_, err := pool.Forward(ctx, ForwardCall{Method: http.MethodGet, EncodeRequest: getRequest})
					var failed *ForwardError
					assert.Assert(t, errors.As(err, &failed), "%v", err)
					assert.Equal(t, failed.Status, peerpb.ResultStatus_INVALID_REPLY)
					assert.Assert(t, failed.Sent && !failed.ConnectionLost())
				}
				open, _ := pool.Stats()
				assert.Equal(t, open, 0, "the connection is still open")
			})
		}
	}
}

func getRequest() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") }

// Guards against rejecting valid replies, and against reading less or more than one of them:
// the rest would be taken for the reply to the next call.
func TestValidRepliesAreReadCompletely(t *testing.T) {
	for name, c := range map[string]struct{ wire, body string }{
		"length":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"chunks":        {"HTTP/1.1 599 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n1;x=y\r\n!\r\n0\r\nX: trailer\r\n\r\n", "ok!"},
		"no content":    {"HTTP/1.1 204 No Content\r\n\r\n", ""},
		"not modified":  {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", ""},
		"informational": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"long header":   {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeadBytes/2) + "\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"bare newlines": {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			pool := poolForScript(t, 1, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(conn, c.wire)
				return true
			})
			for range 3 {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				reply, err := pool.Forward(ctx, ForwardCall{Method: http.MethodGet, EncodeRequest: getRequest})
				cancel()
				assert.NilError(t, err)
				assert.Equal(t, string(reply.Body), c.body)
			}
			open, idle := pool.Stats()
			assert.Equal(t, open, 1)
			assert.Equal(t, idle, 1)
		})
	}
}

// memoryConn is a connection that yields fixed bytes.
type memoryConn struct {
	net.Conn
	in *bytes.Reader
}

func (c memoryConn) Read(p []byte) (int, error)      { return c.in.Read(p) }
func (c memoryConn) SetReadDeadline(time.Time) error { return nil }

// FuzzReadReply guards against bytes of a server that end the process, that occupy memory
// without bound, or that are taken for a reply with a status that HTTP does not have.
func FuzzReadReply(f *testing.F) {
	for _, wire := range invalidReplies {
		f.Add([]byte(wire))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 \r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		conn := newConnection(memoryConn{in: bytes.NewReader(wire)}, nil)
		conn.beginCall(0, time.Time{}, 1<<20)
		resp, body, err := readReply(conn, http.MethodGet)
		if err != nil {
			assert.Assert(t, resp == nil && body == nil)
			return
		}
		assert.Assert(t, resp.StatusCode >= 200 && resp.StatusCode <= 599)
		assert.Assert(t, len(body) <= len(wire))
		assert.Assert(t, len(resp.Header.Values("Content-Length"))+len(resp.TransferEncoding) <= 1)
	})
}
