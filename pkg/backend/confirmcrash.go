package backend

import (
	"context"
	"net/http"
	"time"
)

// pingTimeout bounds the look whether a backend server still runs.
const pingTimeout = 150 * time.Millisecond

// confirmCrash reports whether the backend server went down with a connection
// that was lost: it refuses connections or has a new incarnation. A server that
// closed one connection, because of its own connection limit or because it was
// idle, must not count as crashed by the request.
func (p *Pool) confirmCrash(ctx context.Context) bool {
	before := p.lastIncarnation()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pingTimeout)
	defer cancel()
	conn, err := p.acquire(ctx, true)
	if err != nil {
		return true
	}
	defer p.discard(conn)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url("/v1/ping"), nil)
	if err != nil {
		return true
	}
	r, err := p.exchange(ctx, conn, req, pingTimeout)
	if err != nil {
		return false // it accepts connections, and closes or stalls them
	}
	return before != "" && r.state.Incarnation != before
}

// lastIncarnation returns the incarnation of the latest reply, or "".
func (p *Pool) lastIncarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// sawIncarnation keeps the incarnation of a reply.
func (p *Pool) sawIncarnation(incarnation string) {
	if incarnation == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation = incarnation
}
