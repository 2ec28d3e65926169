package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/socket"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

var errReplyTooLarge = errors.New("reply exceeds the size limit")

// connection is one TCP or TLS connection. It carries one call at a time; between
// calls it is idle in the pool or closed.
type connection struct {
	net     net.Conn
	raw     net.Conn // the TCP connection below TLS; the same as net in cleartext
	reader  *bufio.Reader
	reused  bool      // at least one call has completed
	lastUse time.Time // completion of the last call
	// idleLimit is how long the connection may be idle before it is no longer
	// used, derived from the idle timeout that the server stated; 0 if none.
	idleLimit time.Duration

	// State of the running call.
	progressTimeout time.Duration
	deadline        time.Time // zero: no deadline
	remainingBytes  int64     // reply bytes that may still be read
	receivedBytes   int64     // reply bytes read
}

func newConnection(c, raw net.Conn) *connection {
	conn := &connection{net: c, raw: raw}
	conn.reader = bufio.NewReaderSize(conn, readBufferBytes)
	return conn
}

// beginCall sets the time limits and the reply size limit of one call.
func (c *connection) beginCall(progress time.Duration, deadline time.Time, maxReply int64) {
	c.progressTimeout = progress
	c.deadline = deadline
	c.remainingBytes = maxReply
	c.receivedBytes = 0
}

// Read restarts the progress timeout for every read and enforces the size limit
// of a reply, header included.
func (c *connection) Read(p []byte) (int, error) {
	if c.remainingBytes <= 0 {
		return 0, errReplyTooLarge
	}
	if int64(len(p)) > c.remainingBytes {
		p = p[:c.remainingBytes]
	}
	if err := c.net.SetReadDeadline(c.nextDeadline()); err != nil {
		return 0, err
	}
	n, err := c.net.Read(p)
	c.remainingBytes -= int64(n)
	c.receivedBytes += int64(n)
	return n, err
}

// Write restarts the progress timeout for every write.
func (c *connection) Write(p []byte) (int, error) {
	if err := c.net.SetWriteDeadline(c.nextDeadline()); err != nil {
		return 0, err
	}
	return c.net.Write(p)
}

// nextDeadline returns the deadline of a read or write that starts now: the
// earlier of the call's deadline and the end of the progress timeout.
func (c *connection) nextDeadline() time.Time {
	if c.progressTimeout <= 0 {
		return c.deadline
	}
	limit := time.Now().Add(c.progressTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(limit) {
		return c.deadline
	}
	return limit
}

// usable reports whether an idle connection can carry another call: it is still
// open, within its idle limit, and has no unread bytes, which would be taken for
// the next call's reply. A call on a connection that the server has closed would look
// as if it had crashed the server.
func (c *connection) usable() bool {
	if c.idleLimit > 0 && time.Since(c.lastUse) >= c.idleLimit {
		return false
	}
	return c.reader.Buffered() == 0 && socket.IsQuiet(c.raw)
}

func (c *connection) close() { _ = c.net.Close() }

var _ io.ReadWriter = (*connection)(nil)
