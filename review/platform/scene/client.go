package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// connectTimeout is how long clients allow a new connection.
const connectTimeout = time.Second

// attempt is one client attempt.
type attempt struct {
	id, operation string
	node          string // the process that it was sent to
	kept          bool   // on a connection that had carried another request
	sent          time.Time
	ended         time.Time
	status        int // of a complete answer; 0 if there was none
	seal          string
	closed        bool // the answer says that the connection closes
	retryAfter    time.Duration
	failure       string
}

// connection is a client's connection to a process.
type connection struct {
	node   string
	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

func connect(r *relay) (*connection, error) {
	conn, err := net.DialTimeout("tcp", r.front, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{node: r.id, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// post sends one request and reads the whole answer.
func (c *connection) post(path, id, operation string, budget time.Duration) attempt {
	a := attempt{id: id, operation: operation, node: c.node, kept: c.used}
	c.used = true
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, host, platformtest.HeaderRequestID, id, platformtest.HeaderTimeoutMs, budget.Milliseconds(), len(operation), operation)
	a.sent = time.Now()
	_ = c.conn.SetDeadline(a.sent.Add(budget))
	_, err := io.WriteString(c.conn, text)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	}
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	a.ended = time.Now()
	if err != nil {
		a.failure = err.Error()
		a.closed = true
		return a
	}
	a.status, a.seal, a.closed = response.StatusCode, response.Header.Get(platformtest.HeaderProof), response.Close
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// closedByPeer reports whether the process has closed the connection while it was idle.
func (c *connection) closedByPeer() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return err == io.EOF
}

func (c *connection) close() { _ = c.conn.Close() }
