package backend

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bodies that are cut off, written twice or changed for the next attempt, whether
// they are written with the header or after it.
func TestBodyFollowsTheHeader(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	defer server.Close()
	pool := poolFor(t, server.Listener.Addr().String(), Options{MaxConnections: 1, MaxReplyBytes: 1 << 20})
	for _, size := range []int{0, 10, maxJoinedBody, maxJoinedBody + 1, 256 << 10} {
		body := bytes.Repeat([]byte{'b'}, size)
		for range 2 {
			reply, err := pool.Forward(testContext(t), ForwardCall{
				Method: "POST",
				EncodeRequest: func() []byte {
					return fmt.Appendf(nil, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
				},
				Body: body,
			})
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(reply.Body, body), "%d bytes of %d", len(reply.Body), size)
		}
	}
}
