package standin

import (
	"net"
	"sync"
	"time"
)

// connTable holds the open connections of a backend server and enforces its
// connection limit.
type connTable struct {
	limit        int
	connectDelay time.Duration

	mu       sync.Mutex
	open     map[*serverConn]struct{} // guarded by mu
	opened   int64                    // guarded by mu; accepted since start
	rejected int64                    // guarded by mu; over the limit
	peak     int                      // guarded by mu
}

func newConnTable(limit int, connectDelay time.Duration) *connTable {
	return &connTable{
		limit: limit, connectDelay: connectDelay,
		open: map[*serverConn]struct{}{},
	}
}

// admit registers a connection, or resets it when the limit is reached.
func (t *connTable) admit(conn net.Conn) (*serverConn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) >= t.limit {
		t.rejected++
		resetConn(conn)
		return nil, false
	}
	accepted := &serverConn{Conn: conn, table: t, readyAt: time.Now().Add(t.connectDelay)}
	t.open[accepted] = struct{}{}
	t.opened++
	t.peak = max(t.peak, len(t.open))
	return accepted, true
}

func (t *connTable) remove(conn *serverConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, conn)
}

func (t *connTable) list() []*serverConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*serverConn, 0, len(t.open))
	for conn := range t.open {
		out = append(out, conn)
	}
	return out
}

// silence makes the connections that are open now stop answering for good.
func (t *connTable) silence() {
	for _, conn := range t.list() {
		conn.silent.Store(true)
	}
}

func (t *connTable) resetAll() {
	for _, conn := range t.list() {
		conn.reset()
	}
}

func (t *connTable) counts() (open, peak int, opened, rejected int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), t.peak, t.opened, t.rejected
}
