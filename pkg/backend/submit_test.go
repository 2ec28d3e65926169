package backend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

type guardFunc func() bool

func (g guardFunc) Send() bool { return g() }

var (
	allowSend  = guardFunc(func() bool { return true })
	testSubmit = SubmitCall{Request: "r1", Attempt: 2, Operation: "t1", Key: "k", Payload: []byte(`{}`)}
)

func submitReply(operation string) string {
	return fmt.Sprintf(`{"request":"r1","attempt":2,"operation":%q,"result":{"fee":1},"run":true}`, operation)
}

// newServerCrashingOnSecond starts a server that closes the connection of the
// second request after reading it, like a server that crashes while it runs the
// request.
func newServerCrashingOnSecond(t *testing.T) *rawServer {
	return newRawServer(t, func(_ net.Conn, n int32, r *http.Request) (string, bool) {
		if n == 2 {
			return "", true
		}
		return httpReply(http.StatusOK, submitReply("t1")), false
	})
}

// Guards against sending a submission twice. The Transport of net/http replays a
// request with an Idempotency-Key when a reused connection breaks, which the first
// part shows; Submit writes it only once.
func TestSubmitIsNeverReplayed(t *testing.T) {
	server := newServerCrashingOnSecond(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequestWithContext(testContext(t), http.MethodPost, "http://"+server.address(), bytes.NewReader([]byte(`{}`)))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "t1")
		resp, err := transport.RoundTrip(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	assert.Equal(t, server.requests.Load(), int32(3), "requests of two calls through Transport")

	server = newServerCrashingOnSecond(t)
	pool := poolFor(t, server.address(), Options{})
	_, err := pool.Submit(testContext(t), testSubmit, allowSend)
	assert.NilError(t, err)
	_, err = pool.Submit(testContext(t), testSubmit, allowSend)
	wantFailure(t, err, peerpb.ResultStatus_CRASHED, runUnknown)
	assert.Equal(t, server.requests.Load(), int32(2), "requests of two calls through Submit")
	assert.Equal(t, server.dials.Load(), int32(2), "dials")
}

// Guards against a wrong run state around the first byte: the guard must be called
// only when a connection is ready, and before the first write.
func TestSendGuard(t *testing.T) {
	server := newServerCrashingOnSecond(t)
	pool := poolFor(t, server.address(), Options{})
	_, err := pool.Submit(testContext(t), testSubmit, guardFunc(func() bool { return false }))
	wantFailure(t, err, peerpb.ResultStatus_DEADLINE, noRun)
	_ = server.Close()
	called := false
	_, err = pool.Submit(testContext(t), testSubmit, guardFunc(func() bool {
		called = true
		return true
	}))
	wantFailure(t, err, peerpb.ResultStatus_UNREACHABLE, noRun)
	assert.Assert(t, !called, "guard called without a connection")
	assert.Equal(t, server.requests.Load(), int32(0), "requests")
}

// Guards against a wrong run state of a submission, against sending submissions on
// a connection that searches have used and that may have become unresponsive, and
// against headers that make a submission replayable.
func TestSubmitReplies(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   peerpb.ResultStatus
		run    peerpb.RunState
	}{
		{200, submitReply("t1"), peerpb.ResultStatus_OK, peerpb.RunState_RUN_STATE_RUN},
		{200, submitReply("t2"), peerpb.ResultStatus_INVALID_REPLY, runUnknown},
		{503, `{"not_run":true,"reason":"shed"}`, peerpb.ResultStatus_SHED, noRun},
		{503, `{"not_run":true,"reason":"draining"}`, peerpb.ResultStatus_DRAINING, noRun},
		{503, `{"not_run":true,"reason":"cold"}`, peerpb.ResultStatus_COLD, noRun},
		{410, `{"not_run":true,"reason":"snapshot-gone"}`, peerpb.ResultStatus_SNAPSHOT_GONE, noRun},
		{504, `{"not_run":true,"reason":"deadline"}`, peerpb.ResultStatus_DEADLINE, noRun},
		{503, `{"reason":"shed"}`, peerpb.ResultStatus_INVALID_REPLY, runUnknown},
		{503, `{"not_run":true,"reason":"shed","request":"r0"}`, peerpb.ResultStatus_INVALID_REPLY, runUnknown},
		{500, `oops`, peerpb.ResultStatus_INVALID_REPLY, runUnknown},
	} {
		var got *http.Request
		server := newRawServer(t, func(_ net.Conn, n int32, r *http.Request) (string, bool) {
			if n == 1 {
				return searchReplyWith("documents", 9), false
			}
			got = r
			return httpReply(c.status, c.body), false
		})
		pool := poolFor(t, server.address(), Options{})
		searchConcurrently(t, pool, 1)
		result, err := pool.Submit(testContext(t), testSubmit, allowSend)
		assert.Equal(t, server.dials.Load(), int32(2), "dials")
		assert.Assert(t, got.Close, "connection closes")
		assert.Equal(t, got.Header.Get("Idempotency-Key"), "", "idempotency key")
		assert.Equal(t, got.Header.Get(HeaderOperation), "t1", "operation")
		if c.want == peerpb.ResultStatus_OK {
			assert.NilError(t, err)
			assert.Equal(t, string(result.Result), `{"fee":1}`, "result")
			continue
		}
		assert.Equal(t, wantFailure(t, err, c.want, c.run).Incarnation, "inc-1", "incarnation")
	}
}
