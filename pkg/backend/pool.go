package backend

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/adaptivetimeout"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

var (
	errClosed  = errors.New("pool closed")
	errNoQuota = errors.New("no connection quota")
)

// Pool holds the connections of this instance to one backend server. All
// methods may be called concurrently.
type Pool struct {
	server membership.BackendServer
	opts   Options
	dials  chan struct{} // one token per running dial

	mu      sync.Mutex
	idle    []*connection   // least recently used first
	waiters []chan struct{} // first come, first served; closed to wake
	open    int             // idle, used and being dialled
	limit   int
	closed  bool

	incarnation string // of the latest reply
	pace        adaptivetimeout.Estimator
}

// NewPool returns a pool without open connections.
func NewPool(server membership.BackendServer, opts Options) *Pool {
	opts = opts.withDefaults()
	return &Pool{
		server: server,
		opts:   opts,
		dials:  make(chan struct{}, opts.MaxDials),
		limit:  opts.Connections,
	}
}

// SetConnections changes the limit on open connections. Surplus idle
// connections are closed at once, used ones when their call ends.
func (p *Pool) SetConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	for p.open > p.limit && len(p.idle) > 0 {
		p.closeOldestLocked()
	}
	p.wakeLocked()
}

// Close closes idle connections and refuses new calls. Running calls end
// normally and close their connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeOldestLocked()
	}
	p.wakeLocked()
}

// Stats returns the number of open and of idle connections.
func (p *Pool) Stats() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// acquire returns a connection within the limit. With fresh set it is newly
// dialled, and an idle one is closed to make room when the limit is reached.
func (p *Pool) acquire(ctx context.Context, fresh bool) (*connection, error) {
	for {
		conn, dial, wait, err := p.take(fresh)
		if err != nil || conn != nil {
			return conn, err
		}
		if dial {
			return p.dial(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			p.abandon(wait)
			return nil, ctx.Err()
		}
	}
}

// take returns an idle connection, the right to dial, or a channel to wait on.
func (p *Pool) take(fresh bool) (conn *connection, dial bool, wait chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, nil, errClosed
	}
	if p.limit <= 0 {
		return nil, false, nil, errNoQuota
	}
	if !fresh {
		if conn := p.popIdleLocked(); conn != nil {
			return conn, false, nil, nil
		}
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		p.closeOldestLocked()
	}
	if p.open < p.limit {
		p.open++
		return nil, true, nil, nil
	}
	wait = make(chan struct{})
	p.waiters = append(p.waiters, wait)
	return nil, false, wait, nil
}

// popIdleLocked returns the most recently used connection that is usable.
func (p *Pool) popIdleLocked() *connection {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		conn := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if time.Since(conn.lastUse) < p.opts.IdleTimeout && conn.usable() {
			return conn
		}
		conn.close()
		p.open--
	}
	return nil
}

// Warm opens a connection when there is none, so that the next call does not wait
// for it.
func (p *Pool) Warm(ctx context.Context) error {
	p.mu.Lock()
	if p.open > 0 || p.closed || p.limit <= 0 {
		p.mu.Unlock()
		return nil
	}
	p.open++
	p.mu.Unlock()
	conn, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.lastUse = time.Now()
	p.idle = append(p.idle, conn)
	p.wakeLocked()
	return nil
}

// release returns a connection whose call has completed.
func (p *Pool) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.reused = true
	// Read under the lock, so that idle connections are in the order of their last use.
	conn.lastUse = time.Now()
	if p.closed || p.open > p.limit {
		conn.close()
		p.open--
	} else {
		p.idle = append(p.idle, conn)
	}
	for len(p.idle) > 0 && conn.lastUse.Sub(p.idle[0].lastUse) >= p.opts.IdleTimeout {
		p.closeOldestLocked()
	}
	p.wakeLocked()
}

// discard closes a connection that must not be used again.
func (p *Pool) discard(conn *connection) {
	conn.close()
	p.forget()
}

// forget gives back the place of a connection that is closed or not dialled.
func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wakeLocked()
}

// dropIdle closes the idle connections that have completed no call since the
// given time. Connections that have are known to respond, and closing them as
// well would cause a reconnect for every silent call.
func (p *Pool) dropIdle(since time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if conn.lastUse.After(since) {
			kept = append(kept, conn)
			continue
		}
		conn.close()
		p.open--
	}
	dropped := len(p.idle) - len(kept)
	clear(p.idle[len(kept):])
	p.idle = kept
	p.wakeLocked()
	return dropped
}

func (p *Pool) closeOldestLocked() {
	p.idle[0].close()
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.open--
}

// wakeLocked wakes as many waiters as there are places and idle connections.
// A woken waiter tries again and may find that a newer call was faster.
func (p *Pool) wakeLocked() {
	free := p.limit - p.open + len(p.idle)
	if p.closed || p.limit <= 0 {
		free = len(p.waiters)
	}
	for free > 0 && len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
		free--
	}
}

// abandon removes a waiter whose call has ended. If it was woken meanwhile,
// the wake-up passes to the next one.
func (p *Pool) abandon(wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:i:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wakeLocked()
}
