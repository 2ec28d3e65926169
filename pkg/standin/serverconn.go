package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// serverConn is a connection accepted by a backend server. It answers only
// after the server's connect delay, and it can be made to stop answering.
type serverConn struct {
	net.Conn
	table     *connTable
	readyAt   time.Time
	silent    atomic.Bool
	used      atomic.Bool // the connection has carried a request
	closeOnce sync.Once
}

// Read delays the first bytes until the connection is ready. On a silent
// connection it discards what arrives until the connection ends.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if wait := time.Until(c.readyAt); wait > 0 {
		time.Sleep(wait)
	}
	for err == nil && c.silent.Load() {
		_, err = c.Conn.Read(p)
		n = 0
	}
	return n, err
}

// Write drops everything on a silent connection.
func (c *serverConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and frees its place in the server's limit.
func (c *serverConn) Close() error {
	c.closeOnce.Do(func() { c.table.remove(c) })
	return c.Conn.Close()
}

// reset closes the connection so that the peer sees a TCP reset.
func (c *serverConn) reset() {
	resetConn(c.Conn)
	c.closeOnce.Do(func() { c.table.remove(c) })
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
