package backend

import (
	"net"
	"net/http"
	"testing"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// Guards against a wrong claim about a request whose connection broke: only a
// request that was never sent counts as not run.
func TestSearchFaults(t *testing.T) {
	good := rawReply(echo(nil))
	cases := map[string]struct {
		reply  string
		status peerpb.ResultStatus
	}{
		"closed without reply":   {"", peerpb.ResultStatus_CRASHED},
		"truncated header":       {good[:20], peerpb.ResultStatus_INVALID_REPLY},
		"truncated body":         {good[:len(good)-3], peerpb.ResultStatus_INVALID_REPLY},
		"no content length":      {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + string(echo(nil)), peerpb.ResultStatus_INVALID_REPLY},
		"complete missing":       {rawReply(echo(map[string]any{"complete": false})), peerpb.ResultStatus_INVALID_REPLY},
		"another request":        {rawReply(echo(map[string]any{"request": "r0"})), peerpb.ResultStatus_INVALID_REPLY},
		"another attempt":        {rawReply(echo(map[string]any{"attempt": 1})), peerpb.ResultStatus_INVALID_REPLY},
		"another shard":          {rawReply(echo(map[string]any{"shard": 0})), peerpb.ResultStatus_INVALID_REPLY},
		"another snapshot":       {rawReply(echo(map[string]any{"snapshot": 8})), peerpb.ResultStatus_INVALID_REPLY},
		"reply above size limit": {rawReply(echo(map[string]any{"from": string(make([]byte, 8<<10))})), peerpb.ResultStatus_INVALID_REPLY},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := newRawServer(t, func(conn net.Conn, _ int32, _ *http.Request) bool {
				_, _ = conn.Write([]byte(c.reply))
				_ = conn.Close()
				return false
			})
			pool := poolFor(t, server.address(), Options{MaxReplyBytes: 4 << 10})
			_, err := pool.Search(testContext(t), testCall)
			equal(t, "status", failure(t, err).Status, c.status)
			equal(t, "run", failure(t, err).Run, peerpb.RunState_RUN_STATE_UNKNOWN)
			open, _ := pool.Stats()
			equal(t, "open connections", open, 0)
		})
	}
}

// Guards against counting a refused dial as maybe run or as a crash.
func TestRefusedDialIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	noError(t, listener.Close())
	pool := poolFor(t, listener.Addr().String(), Options{})
	_, err = pool.Search(testContext(t), testCall)
	equal(t, "status", failure(t, err).Status, peerpb.ResultStatus_UNREACHABLE)
	equal(t, "run", failure(t, err).Run, peerpb.RunState_RUN_STATE_NOT_RUN)
	open, _ := pool.Stats()
	equal(t, "open connections", open, 0)
}
