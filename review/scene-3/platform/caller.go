package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// caller sends requests on one connection to one machine, which it keeps open.
type caller struct {
	name   string
	target string
	conn   net.Conn
	reader *bufio.Reader
	served int // answers on this connection
	sent   int
}

// outcome is what a caller has seen of one request.
type outcome struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int   // 0 without an answer
	kept   bool  // an earlier request was answered on the same connection
	read   bool  // the whole request was written
	err    error // why there is no complete answer
	answer *http.Response
	body   []byte
}

// get sends one request and waits for its answer at most for the time that it states.
func (c *caller) get(host, path string, patience time.Duration) (o outcome) {
	c.sent++
	o = outcome{id: fmt.Sprintf("%s-%d", c.name, c.sent), sent: time.Now(), kept: c.served > 0}
	defer func() { o.took = time.Since(o.sent) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.target, time.Second)
		if err != nil {
			o.err = err
			return o
		}
		c.conn, c.reader, c.served, o.kept = conn, bufio.NewReader(conn), 0, false
	}
	_ = c.conn.SetDeadline(time.Now().Add(patience + 500*time.Millisecond))
	_, o.err = fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		path, host, platformtest.HeaderRequestID, o.id, platformtest.HeaderTimeoutMs, patience.Milliseconds())
	if o.err == nil {
		o.read = true
		o.answer, o.err = http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	}
	if o.err == nil {
		o.body, o.err = io.ReadAll(o.answer.Body)
	}
	if o.err != nil {
		c.close()
		return o
	}
	c.served++
	o.status = o.answer.StatusCode
	if o.answer.Close {
		c.close()
	}
	return o
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
