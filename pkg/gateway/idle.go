package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/socket"
)

const (
	// idleGrace is added to the operator's idle timeout, since a caller may reuse a
	// connection until just before the timeout and its request may still be in
	// transit.
	idleGrace = 2 * time.Second
	// defaultIdleTimeout is the idle timeout when the table states none.
	defaultIdleTimeout = 5 * time.Minute
	// closeInterval is how often CloseAll looks at the connections that are left.
	closeInterval = time.Millisecond
)

// IdleCloser closes callers' connections that stay idle for too long. It replaces
// http.Server.IdleTimeout, which cannot change while the server runs, as the timeout
// in the table can.
type IdleCloser struct {
	timeout func() time.Duration // from the current table; 0 if it states none

	mu         sync.Mutex
	idleTimers map[net.Conn]*time.Timer
	closing    bool // connections close as soon as they are idle
}

// NewIdleCloser returns a closer that calls timeout each time a connection becomes
// idle.
func NewIdleCloser(timeout func() time.Duration) *IdleCloser {
	return &IdleCloser{timeout: timeout, idleTimers: make(map[net.Conn]*time.Timer)}
}

// ConnState is the http.Server.ConnState hook: it starts a timer when a connection
// becomes idle and stops it on any other state.
func (c *IdleCloser) ConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.idleTimers[conn]; timer != nil {
		timer.Stop()
		delete(c.idleTimers, conn)
	}
	if state != http.StateIdle {
		return
	}
	if c.closing && closeQuiet(conn) {
		return
	}
	limit := c.timeout()
	if limit <= 0 {
		limit = defaultIdleTimeout
	}
	c.idleTimers[conn] = time.AfterFunc(limit+idleGrace, func() { c.close(conn) })
}

// CloseAll closes the idle connections, and from now on each connection that becomes
// idle. Those on which a request has arrived stay open; CloseAll waits until they are no
// longer idle, at most until ctx ends.
func (c *IdleCloser) CloseAll(ctx context.Context) {
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for !c.closeIdle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// closeIdle closes the idle connections on which no request has arrived, and reports
// whether no idle connection is left.
func (c *IdleCloser) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for conn, timer := range c.idleTimers {
		if closeQuiet(conn) {
			timer.Stop()
			delete(c.idleTimers, conn)
		}
	}
	return len(c.idleTimers) == 0
}

// closeQuiet closes a connection and returns true, unless its next request has arrived.
func closeQuiet(conn net.Conn) bool {
	quiet := socket.IsQuiet(conn)
	if quiet {
		_ = conn.Close()
	}
	return quiet
}

// close closes a connection unless it has left the idle state since its timer fired.
func (c *IdleCloser) close(conn net.Conn) {
	c.mu.Lock()
	_, idle := c.idleTimers[conn]
	delete(c.idleTimers, conn)
	c.mu.Unlock()
	if idle {
		closeQuiet(conn)
	}
}
