package backend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

type guardFunc func() bool

func (g guardFunc) Send() bool { return g() }

var (
	allow      = guardFunc(func() bool { return true })
	testSubmit = SubmitCall{Request: "r1", Attempt: 2, Operation: "t1", Key: "k", Payload: []byte(`{}`)}
)

const submitReplyFormat = `{"request":"r1","attempt":2,"operation":%q,"result":{"fee":1},"run":true}`

// breakAfterFirst answers the first request, closes the connection of the
// second one after reading it, as a server does that crashes while it runs
// the request, and answers all later ones.
func breakAfterFirst(t *testing.T) *rawServer {
	return newRawServer(t, func(conn net.Conn, n int32, _ *http.Request) bool {
		if n == 2 {
			_ = conn.Close()
			return false
		}
		_, _ = conn.Write([]byte(rawReply(fmt.Appendf(nil, submitReplyFormat, "t1"))))
		return true
	})
}

// Guards against a submission that is sent twice. The Transport of net/http
// replays it when a reused connection breaks and the request has an
// Idempotency-Key; Submit writes it once.
func TestSubmitIsNeverReplayed(t *testing.T) {
	server := breakAfterFirst(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequestWithContext(testContext(t), http.MethodPost, "http://"+server.address()+"/v1/submit", bytes.NewReader([]byte(`{}`)))
		noError(t, err)
		req.Header.Set("Idempotency-Key", "t1")
		resp, err := transport.RoundTrip(req)
		noError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		noError(t, err)
		noError(t, resp.Body.Close())
	}
	equal(t, "requests of two calls through Transport", server.requests.Load(), 3)

	server = breakAfterFirst(t)
	pool := poolFor(t, server.address(), Options{})
	_, err := pool.Submit(testContext(t), testSubmit, allow)
	noError(t, err)
	_, err = pool.Submit(testContext(t), testSubmit, allow)
	equal(t, "status", failure(t, err).Status, peerpb.ResultStatus_CRASHED)
	equal(t, "run", failure(t, err).Run, peerpb.RunState_RUN_STATE_UNKNOWN)
	equal(t, "requests of two calls through Submit", server.requests.Load(), 2)
	equal(t, "dials", server.dials.Load(), 2)
}

// Guards against a submission on a connection that searches have used, which
// may have become unresponsive.
func TestSubmitUsesNoIdleConnection(t *testing.T) {
	server := newRawServer(t, func(conn net.Conn, n int32, _ *http.Request) bool {
		body := echo(nil)
		if n == 2 {
			body = fmt.Appendf(nil, submitReplyFormat, "t1")
		}
		_, _ = conn.Write([]byte(rawReply(body)))
		return true
	})
	pool := poolFor(t, server.address(), Options{Connections: 1})
	searchTogether(t, pool, 1)
	_, err := pool.Submit(testContext(t), testSubmit, allow)
	noError(t, err)
	equal(t, "dials", server.dials.Load(), 2)
	open, _ := pool.Stats()
	equal(t, "open", open, 0)
}

// Guards against a wrong run state around the first byte: the guard decides
// exactly between a connection that is ready and the first write.
func TestSendGuard(t *testing.T) {
	server := breakAfterFirst(t)
	pool := poolFor(t, server.address(), Options{})
	_, err := pool.Submit(testContext(t), testSubmit, guardFunc(func() bool { return false }))
	equal(t, "run", failure(t, err).Run, peerpb.RunState_RUN_STATE_NOT_RUN)
	noError(t, server.listener.Close())
	_, err = pool.Submit(testContext(t), testSubmit, guardFunc(func() bool {
		t.Error("guard called without a connection")
		return true
	}))
	equal(t, "run", failure(t, err).Run, peerpb.RunState_RUN_STATE_NOT_RUN)
	equal(t, "requests", server.requests.Load(), 0)
}

// Guards against a wrong claim that a submission ran or did not run, and
// against submissions that carry what would make them replayable.
func TestSubmitReplies(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   peerpb.ResultStatus
		run    peerpb.RunState
	}{
		"run":               {200, fmt.Sprintf(submitReplyFormat, "t1"), peerpb.ResultStatus_OK, peerpb.RunState_RUN_STATE_RUN},
		"another operation": {200, fmt.Sprintf(submitReplyFormat, "t2"), peerpb.ResultStatus_INVALID_REPLY, peerpb.RunState_RUN_STATE_UNKNOWN},
		"shed":              {503, `{"not_run":true,"reason":"shed"}`, peerpb.ResultStatus_SHED, peerpb.RunState_RUN_STATE_NOT_RUN},
		"draining":          {503, `{"not_run":true,"reason":"draining"}`, peerpb.ResultStatus_DRAINING, peerpb.RunState_RUN_STATE_NOT_RUN},
		"cold":              {503, `{"not_run":true,"reason":"cold"}`, peerpb.ResultStatus_COLD, peerpb.RunState_RUN_STATE_NOT_RUN},
		"snapshot gone":     {410, `{"not_run":true,"reason":"snapshot-gone"}`, peerpb.ResultStatus_SNAPSHOT_GONE, peerpb.RunState_RUN_STATE_NOT_RUN},
		"deadline":          {504, `{"not_run":true,"reason":"deadline"}`, peerpb.ResultStatus_DEADLINE, peerpb.RunState_RUN_STATE_NOT_RUN},
		"refusal not clear": {503, `{"reason":"shed"}`, peerpb.ResultStatus_INVALID_REPLY, peerpb.RunState_RUN_STATE_UNKNOWN},
		"other refusal":     {503, `{"not_run":true,"reason":"shed","request":"r0"}`, peerpb.ResultStatus_INVALID_REPLY, peerpb.RunState_RUN_STATE_UNKNOWN},
		"server error":      {500, `oops`, peerpb.ResultStatus_INVALID_REPLY, peerpb.RunState_RUN_STATE_UNKNOWN},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pool := newTestPool(t, func(w http.ResponseWriter, r *http.Request) {
				equal(t, "connection closes", r.Close, true)
				equal(t, "idempotency key", r.Header.Get("Idempotency-Key"), "")
				equal(t, "operation", r.Header.Get(HeaderOperation), "t1")
				w.Header().Set(HeaderIncarnation, "inc-1")
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}, Options{})
			result, err := pool.Submit(testContext(t), testSubmit, allow)
			if c.want == peerpb.ResultStatus_OK {
				noError(t, err)
				equal(t, "result", string(result.Result), `{"fee":1}`)
				return
			}
			equal(t, "status", failure(t, err).Status, c.want)
			equal(t, "run", failure(t, err).Run, c.run)
			equal(t, "incarnation", failure(t, err).Incarnation, "inc-1")
		})
	}
}
