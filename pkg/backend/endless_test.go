package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server in trouble that sends bytes without end, as a header or as a body,
// until the caller closes: the call has to fail long before its deadline and with bounded
// memory, its connection has to be closed, and it must not count as the crash of the server.
func TestEndlessReplyIsCutOff(t *testing.T) {
	const maxReply = 64 << 10
	for name, reply := range map[string]struct{ start, repeated string }{
		"status line":        {"", "x"},
		"header field":       {"HTTP/1.1 200 OK\r\nId: 1\r\nX: ", "x"},
		"header fields":      {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunks":             {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"body without end":   {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x"},
		"replies to another": {"", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			pool := poolForScript(t, 1, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(conn, reply.start)
				piece, total := strings.Repeat(reply.repeated, 1000), 0
				for {
					n, err := io.WriteString(conn, piece)
					total += n
					if err != nil {
						sent <- total
						return false
					}
				}
			})
			pool.opts.MaxReplyBytes = maxReply
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			began := time.Now()
			_, err := pool.Forward(ctx, ForwardCall{
				Method:        "GET",
				EncodeRequest: func() []byte { return []byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n") },
				MatchesReply:  func(h http.Header) bool { return h.Get("Id") == "1" },
			})
			var failed *ForwardError
			assert.Assert(t, time.Since(began) < testTimeout/2)
			assert.ErrorType(t, err, failed)
			assert.Assert(t, !err.(*ForwardError).ConnectionLost(), "%v", err)
			select {
			case <-sent:
			case <-ctx.Done():
				t.Fatal("the connection is still open")
			}
		})
	}
}
