package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleGrace is added to the operator's idle timeout: a caller may use a
	// connection until shortly before it, and its request may be on the way.
	idleGrace = 2 * time.Second
	// longestIdle closes idle connections when no table states a timeout.
	longestIdle = 5 * time.Minute
)

// IdleCloser closes callers' connections that stay idle for too long. The
// timeout of net/http cannot follow a table that changes.
type IdleCloser struct {
	timeout func() time.Duration // in force; 0 is none

	mu    sync.Mutex
	idles map[net.Conn]*time.Timer
}

// NewIdleCloser returns a closer; timeout is asked whenever a connection becomes
// idle.
func NewIdleCloser(timeout func() time.Duration) *IdleCloser {
	return &IdleCloser{timeout: timeout, idles: make(map[net.Conn]*time.Timer)}
}

// ConnState follows the connections of an http.Server.
func (c *IdleCloser) ConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.idles[conn]; timer != nil {
		timer.Stop()
		delete(c.idles, conn)
	}
	if state != http.StateIdle {
		return
	}
	limit := c.timeout()
	if limit <= 0 {
		limit = longestIdle
	}
	c.idles[conn] = time.AfterFunc(limit+idleGrace, func() { c.close(conn) })
}

// close closes a connection that is still idle.
func (c *IdleCloser) close(conn net.Conn) {
	c.mu.Lock()
	_, idle := c.idles[conn]
	delete(c.idles, conn)
	c.mu.Unlock()
	if idle {
		_ = conn.Close()
	}
}
