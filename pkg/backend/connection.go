package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

var errReplyTooLarge = errors.New("reply exceeds the size limit")

// connection is one TCP or TLS connection. It is used by one call at a time
// and is idle or closed otherwise.
type connection struct {
	net     net.Conn
	raw     net.Conn // below TLS; the same as net in cleartext
	reader  *bufio.Reader
	reused  bool      // at least one call has completed
	lastUse time.Time // completion of the last call
	// idleLimit is how long the server keeps the connection when it is idle; 0
	// is not stated.
	idleLimit time.Duration

	// State of the running call.
	progress  time.Duration
	deadline  time.Time // zero is none
	remaining int64     // reply bytes that may still be read
	received  int64     // reply bytes read
}

func newConnection(c, raw net.Conn) *connection {
	conn := &connection{net: c, raw: raw}
	conn.reader = bufio.NewReaderSize(conn, readBufferBytes)
	return conn
}

// begin prepares the connection for one call.
func (c *connection) begin(progress time.Duration, deadline time.Time, maxReply int64) {
	c.progress = progress
	c.deadline = deadline
	c.remaining = maxReply
	c.received = 0
}

// Read renews the progress deadline for every read and enforces the limit on
// the size of a reply, header included.
func (c *connection) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errReplyTooLarge
	}
	if int64(len(p)) > c.remaining {
		p = p[:c.remaining]
	}
	if err := c.net.SetReadDeadline(c.nextDeadline()); err != nil {
		return 0, err
	}
	n, err := c.net.Read(p)
	c.remaining -= int64(n)
	c.received += int64(n)
	return n, err
}

// Write is bounded like Read.
func (c *connection) Write(p []byte) (int, error) {
	if err := c.net.SetWriteDeadline(c.nextDeadline()); err != nil {
		return 0, err
	}
	return c.net.Write(p)
}

// nextDeadline is the earlier of the call's deadline and the progress timeout.
func (c *connection) nextDeadline() time.Time {
	if c.progress <= 0 {
		return c.deadline
	}
	limit := time.Now().Add(c.progress)
	if !c.deadline.IsZero() && c.deadline.Before(limit) {
		return c.deadline
	}
	return limit
}

// usable reports whether an idle connection can take a call: still open and
// without unread bytes, which would be taken for the next call's reply.
func (c *connection) usable() bool {
	if c.idleLimit > 0 && time.Since(c.lastUse) >= c.idleLimit {
		return false
	}
	return c.reader.Buffered() == 0 && isQuiet(c.raw)
}

func (c *connection) close() { _ = c.net.Close() }

var _ io.ReadWriter = (*connection)(nil)
