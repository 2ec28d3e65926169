package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// partialReplies are replies in which the connection ends.
var partialReplies = map[string]string{
	"in the status line":      "HTTP/1.1 2",
	"in the header":           "HTTP/1.1 200 OK\r\nContent-Le",
	"before the body":         "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
	"in the body":             "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
	"in a chunk":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n12345",
	"before the last chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
	"after a provisional one": "HTTP/1.1 102 Processing\r\n\r\n",
}

// dyingServer replies with the given bytes, then ends the connection and, if dies is set, its
// process: before that or after dyingTime.
type dyingServer struct {
	reply     string
	dies      bool
	dyingTime time.Duration
}

// process holds the sockets of a running server.
type process struct {
	listener net.Listener

	mu    sync.Mutex
	ended bool
	conns []net.Conn
}

func (p *process) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	_ = p.listener.Close()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *process) keep(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conn)
	if p.ended {
		_ = conn.Close()
	}
}

func (s dyingServer) start(t *testing.T) membership.BackendServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &process{listener: listener}
	t.Cleanup(p.end)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.keep(conn)
			go s.serve(p, conn)
		}
	}()
	return membership.BackendServer{ID: "a", Address: listener.Addr().String()}
}

func (s dyingServer) serve(p *process, conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = conn.Write([]byte(s.reply))
	switch {
	case s.dies && s.dyingTime == 0:
		p.end()
	case s.dies:
		time.AfterFunc(s.dyingTime, p.end)
	}
}

// Guards against taking a server that goes down during its reply for one that only truncates it, so
// that the request is sent on to the next server, and against the contrary.
func TestServerThatGoesDownDuringAReply(t *testing.T) {
	for name, reply := range partialReplies {
		for _, server := range []dyingServer{
			{reply: reply, dies: true},
			{reply: reply, dies: true, dyingTime: 30 * time.Millisecond},
			{reply: reply},
		} {
			t.Run(fmt.Sprintf("%s, dies %v after %v", name, server.dies, server.dyingTime), func(t *testing.T) {
				t.Parallel()
				pool := NewPool(server.start(t), Options{MaxConnections: 2, DialTimeout: time.Second})
				defer pool.Close()
				_, err := forward(t, pool, "1")
				var failure *ForwardError
				assert.Assert(t, errors.As(err, &failure))
				down := failure.ConnectionLost()
				if !down && failure.ServerDown != nil {
					down = failure.ServerDown()
				}
				assert.Equal(t, down, server.dies, "%v", failure)
				open, idle := pool.Stats()
				assert.Equal(t, open, idle, "connections are neither in use nor idle")
			})
		}
	}
}

// Guards against taking the end of a server for the end of a reply without length, and against the
// contrary.
func TestServerThatGoesDownAtTheEndOfAReply(t *testing.T) {
	for _, dies := range []bool{true, false} {
		t.Run(fmt.Sprint(dies), func(t *testing.T) {
			t.Parallel()
			server := dyingServer{reply: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n12345", dies: dies}
			pool := NewPool(server.start(t), Options{MaxConnections: 2, DialTimeout: time.Second})
			defer pool.Close()
			reply, err := forward(t, pool, "1")
			assert.NilError(t, err)
			assert.Equal(t, string(reply.Body), "12345")
			assert.Equal(t, reply.ServerDown(), dies)
			open, idle := pool.Stats()
			assert.Equal(t, open, idle, "connections are neither in use nor idle")
		})
	}
}

// Guards against the same in searches and submissions of the own protocol.
func TestCallThatCrashesTheServerDuringTheReply(t *testing.T) {
	for _, dies := range []bool{true, false} {
		status := peerpb.ResultStatus_INVALID_REPLY
		if dies {
			status = peerpb.ResultStatus_CRASHED
		}
		server := dyingServer{reply: partialReplies["in the body"], dies: dies}
		for name, call := range map[string]func(ctx context.Context, p *Pool) error{
			"search": func(ctx context.Context, p *Pool) error {
				_, err := p.Search(ctx, SearchCall{Request: "r", Attempt: 1, Snapshot: 1})
				return err
			},
			"submit": func(ctx context.Context, p *Pool) error {
				_, err := p.Submit(ctx, SubmitCall{Request: "r", Attempt: 1, Payload: []byte("{}")}, allowSend)
				return err
			},
		} {
			t.Run(fmt.Sprintf("%s, dies %v", name, dies), func(t *testing.T) {
				pool := NewPool(server.start(t), Options{MaxConnections: 2})
				defer pool.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				var failure *CallError
				assert.Assert(t, errors.As(call(ctx, pool), &failure))
				assert.Equal(t, failure.Status, status, "%v", failure)
				assert.Equal(t, failure.RunState, peerpb.RunState_RUN_STATE_UNKNOWN)
			})
		}
	}
}
