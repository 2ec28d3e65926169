package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const maxBodyBytes = 1 << 20

type connKey struct{}

// call is one request in progress at a backend server.
type call struct {
	server   *BackendServer
	life     *backendLife
	writer   http.ResponseWriter
	request  *http.Request
	oneWay   time.Duration // network delay from and to the caller
	deadline time.Time     // zero is none
	release  func()        // frees the slot; nil while none is held
}

func (s *BackendServer) handler(life *backendLife) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", s.wrap(life, (*call).search))
	mux.HandleFunc("POST /v1/submit", s.wrap(life, (*call).submit))
	mux.HandleFunc("GET /v1/ping", s.wrap(life, (*call).ping))
	mux.HandleFunc("GET /v1/health", s.wrap(life, (*call).health))
	return mux
}

// wrap simulates the network delay and stops requests of a process that has
// gone down.
func (s *BackendServer) wrap(life *backendLife, next func(*call)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		arrived := time.Now()
		c := &call{server: s, life: life, writer: writer, request: request}
		c.oneWay = s.config.Delays.OneWay(request.Header.Get(ZoneHeader), s.config.Member.Zone)
		c.deadline = deadlineOf(request, arrived)
		c.setHeaders()
		c.pause(c.setupDelay() + c.oneWay)
		next(c)
	}
}

// setupDelay is one round trip for the first request of a connection, which
// stands for the TCP handshake; the caller's zone isn't known at accept.
func (c *call) setupDelay() time.Duration {
	conn, ok := c.request.Context().Value(connKey{}).(*serverConn)
	if !ok || conn.used.Swap(true) {
		return 0
	}
	return 2 * c.oneWay
}

func (c *call) setHeaders() {
	header := c.writer.Header()
	header.Set(HeaderIncarnation, c.life.incarnation)
	header.Set(HeaderSnapshots, joinVersions(c.server.Snapshots()))
	header.Set("Content-Type", "application/json")
	if c.server.faults.draining() {
		header.Set(HeaderDraining, "1")
	}
}

// pause waits and reports whether the caller and the process are still there.
func (c *call) pause(wait time.Duration) bool {
	if wait <= 0 {
		return c.request.Context().Err() == nil && c.life.ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.request.Context().Done():
		return false
	case <-c.life.ctx.Done():
		return false
	}
}

// recordAfterDrain counts a request that should not have been sent any more,
// also one that is refused for another reason.
func (c *call) recordAfterDrain() {
	if !c.server.faults.mustBeIdle(time.Now()) {
		return
	}
	c.server.counters.afterDrain.Add(1)
	c.server.config.Runs.RecordAfterDrain(c.server.ID())
}

// admit decides whether the request runs and takes a slot for it.
func (c *call) admit() refusal {
	faults := &c.server.faults
	if faults.drained(time.Now()) {
		return refusalDraining
	}
	if faults.cold(time.Since(c.life.startedAt)) {
		return refusalCold
	}
	if reason := c.life.gate.acquire(c.request.Context(), c.deadline); reason != refusalNone {
		return reason
	}
	c.release = c.life.gate.release
	return refusalNone
}

// free gives the slot back, at most once.
func (c *call) free() {
	if c.release != nil {
		c.release()
		c.release = nil
	}
}

func (c *call) refuse(reason refusal) {
	if reason == refusalCancelled {
		c.server.counters.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	c.server.counters.refused.Add(1)
	status := http.StatusServiceUnavailable
	switch reason {
	case refusalSnapshotGone:
		status = http.StatusGone
	case refusalDeadline:
		status = http.StatusGatewayTimeout
	}
	c.reply(status, mustJSON(refusalReply{NotRun: true, Reason: reason}))
}

func (c *call) invalid(detail string) {
	c.reply(http.StatusBadRequest, mustJSON(refusalReply{NotRun: true, Reason: refusalInvalid, Detail: detail}))
}

// reply sends after the network delay; a process that is down sends nothing.
func (c *call) reply(status int, body []byte) {
	c.pause(c.oneWay)
	if c.life.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(status)
	_, _ = c.writer.Write(body)
}

func (c *call) ping() {
	c.pause(c.oneWay)
	c.writer.WriteHeader(http.StatusNoContent)
}

// health always reports ok and a load that is never above a half, as platform
// health endpoints are not to be relied on.
func (c *call) health() {
	load := float64(c.life.gate.busy()) / float64(cap(c.life.gate.slots)) / 2
	c.reply(http.StatusOK, mustJSON(healthReply{Status: "ok", Load: load}))
}

func (c *call) decode(into any) bool {
	data, err := io.ReadAll(io.LimitReader(c.request.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := json.Unmarshal(data, into); err != nil {
		c.invalid(err.Error())
		return false
	}
	return true
}

func (c *call) headerInt(name string) int64 {
	value, _ := strconv.ParseInt(c.request.Header.Get(name), 10, 64)
	return value
}

func deadlineOf(request *http.Request, arrived time.Time) time.Time {
	ms, err := strconv.ParseInt(request.Header.Get(HeaderTimeoutMs), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return arrived.Add(time.Duration(ms) * time.Millisecond)
}

func joinVersions(versions []int64) string {
	parts := make([]string, len(versions))
	for i, version := range versions {
		parts[i] = strconv.FormatInt(version, 10)
	}
	return strings.Join(parts, ",")
}
