package forward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

const (
	// dialTimeout limits the time to open a connection: a server that is gone does not
	// answer, and a lost packet is resent after 200 ms at the earliest.
	dialTimeout = 450 * time.Millisecond
	// idleTimeout applies to servers that state none.
	idleTimeout = 20 * time.Second
	// maxReplyBytes is the largest reply that is read.
	maxReplyBytes = 4 << 20
	// poolSweepInterval is the shortest interval between searches for unused pools.
	poolSweepInterval = 15 * time.Second
	// maxPoolIdle is how long a pool may be unused before it is closed: its server is gone.
	maxPoolIdle = 60 * time.Second
)

// Codec writes requests and reads replies in the backend servers' protocol.
type Codec interface {
	// EncodeCall returns request line and header as they are written to the server before
	// the body. Left is the time until the server may stop work on it.
	EncodeCall(request *Request, server *directory.Server, left time.Duration) []byte
	// Answers reports whether a reply with this header belongs to the request.
	Answers(request *Request, header http.Header) bool
	// DecodeReply returns the reply, with what the server states about the run.
	DecodeReply(status int, header http.Header, body []byte) *Reply
}

// PooledClient implements BackendClient over the network. It keeps a pool of connections for
// each backend server process.
type PooledClient struct {
	codec  Codec
	logger *slog.Logger

	mu        sync.Mutex
	pools     map[string]*serverPool // by directory.Server.Key
	lastSweep time.Time
}

type serverPool struct {
	pool        *backend.Pool
	connections int
	lastUsed    time.Time
}

// NewPooledClient returns a client that has no connections yet.
func NewPooledClient(codec Codec, logger *slog.Logger) *PooledClient {
	return &PooledClient{codec: codec, logger: logger, pools: make(map[string]*serverPool), lastSweep: time.Now()}
}

// Call implements BackendClient.
func (c *PooledClient) Call(ctx context.Context, call Call) (*Reply, error) {
	pool := c.pool(call.Server, call.Connections)
	reply, err := pool.Forward(ctx, backend.ForwardCall{
		Method: call.Request.Method,
		EncodeRequest: func() []byte {
			left := time.Until(call.Until)
			if left <= 0 || !call.Send() {
				return nil
			}
			return c.codec.EncodeCall(call.Request, call.Server, left)
		},
		Body:          call.Request.Body,
		NewConnection: call.NewConnection,
		Leaves:        call.Leaves,
		MatchesReply:  func(h http.Header) bool { return c.codec.Answers(call.Request, h) },
	})
	if err != nil {
		return nil, callError(err)
	}
	decoded := c.codec.DecodeReply(reply.Status, reply.Header, reply.Body)
	decoded.ServerDown = reply.ServerDown
	return decoded, nil
}

func callError(err error) *CallError {
	var failed *backend.ForwardError
	if !errors.As(err, &failed) {
		return &CallError{Sent: true, Detail: "call to backend server failed", Cause: err}
	}
	detail := failed.Detail
	if failed.Reused {
		detail += " (kept connection)"
	}
	return &CallError{Sent: failed.Sent, ConnectionLost: failed.ConnectionLost(), ServerDown: failed.ServerDown, Detail: detail, Cause: failed.Cause}
}

// ServerDown implements BackendClient.
func (c *PooledClient) ServerDown(server *directory.Server) (down bool, later func() bool) {
	c.mu.Lock()
	entry := c.pools[server.Key()]
	c.mu.Unlock()
	if entry == nil {
		return false, nil
	}
	return entry.pool.ServerDown(context.Background())
}

// Warm opens a connection to a server unless one is open.
func (c *PooledClient) Warm(ctx context.Context, server *directory.Server, connections int) error {
	return c.pool(server, connections).Warm(ctx)
}

func (c *PooledClient) pool(server *directory.Server, connections int) *backend.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.sweepLocked(now)
	key := server.Key()
	entry := c.pools[key]
	if entry == nil {
		entry = &serverPool{connections: connections, pool: backend.NewPool(server.BackendServer, backend.Options{
			MaxConnections: connections,
			DialTimeout:    dialTimeout,
			IdleTimeout:    idleTimeout,
			MaxReplyBytes:  maxReplyBytes,
			Logger:         c.logger,
		})}
		c.pools[key] = entry
	}
	entry.lastUsed = now
	if entry.connections != connections {
		entry.connections = connections
		entry.pool.SetMaxConnections(connections)
	}
	return entry.pool
}

func (c *PooledClient) sweepLocked(now time.Time) {
	if now.Sub(c.lastSweep) < poolSweepInterval {
		return
	}
	c.lastSweep = now
	for key, entry := range c.pools {
		if now.Sub(entry.lastUsed) >= maxPoolIdle {
			entry.pool.Close()
			delete(c.pools, key)
		}
	}
}

// Connections returns the total number of open connections to backend servers.
func (c *PooledClient) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, entry := range c.pools {
		open, _ := entry.pool.Stats()
		sum += open
	}
	return sum
}
