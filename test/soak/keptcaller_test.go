package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// keptCaller sends requests on one connection for as long as it is open, and then opens
// another one.
type keptCaller struct {
	name   string
	pick   func() *process // a process in rotation
	random *rand.Rand

	process  string
	conn     net.Conn
	reader   *bufio.Reader
	attempts []keptAttempt
}

// keptAttempt is what a caller has seen of one request.
type keptAttempt struct {
	id, path, process string
	sent, ended       time.Time
	status            int // of a complete answer; 0 if there was none
	err               error
}

// run sends requests until stop is closed.
func (c *keptCaller) run(stop <-chan struct{}) {
	defer c.disconnect()
	for n := 0; ; n++ {
		if c.conn == nil {
			c.connect() // some connections are open for long before their first request
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(longestThinking)))):
		}
		if c.conn != nil && c.closedByPeer() {
			c.disconnect()
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		path := []string{"/all/x", "/profile/x", "/booking/x", "/all/x"}[c.random.IntN(4)]
		c.ask(path, fmt.Sprintf("%s-%d", c.name, n))
	}
}

func (c *keptCaller) connect() bool {
	p := c.pick()
	conn, err := net.DialTimeout("tcp", p.caller, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.process = conn, bufio.NewReader(conn), p.id
	return true
}

func (c *keptCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// closedByPeer reports whether the process has closed the idle connection.
func (c *keptCaller) closedByPeer() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	timedOut, ok := err.(net.Error)
	return err != nil && !(ok && timedOut.Timeout())
}

func (c *keptCaller) ask(path, id string) {
	method := http.MethodGet
	if path == "/booking/x" {
		method = http.MethodPost
	}
	a := keptAttempt{id: id, path: path, process: c.process}
	_ = c.conn.SetDeadline(time.Now().Add(stopPatience))
	_, a.err = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 4\r\n\r\nbody",
		method, path, host, platformtest.HeaderRequestID, id, platformtest.HeaderTimeoutMs, stopPatience.Milliseconds())
	a.sent = time.Now()
	var response *http.Response
	if a.err == nil {
		response, a.err = http.ReadResponse(c.reader, nil)
	}
	if a.err == nil {
		_, a.err = io.ReadAll(response.Body)
	}
	a.ended = time.Now()
	if a.err == nil {
		a.status = response.StatusCode
	}
	c.attempts = append(c.attempts, a)
	if a.err != nil || response.Close {
		c.disconnect()
	}
}
