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
	errLeaves  = errors.New("backend server leaves")
)

// Pool holds the connections of this instance to one backend server. All
// methods may be called concurrently.
type Pool struct {
	server     membership.BackendServer
	opts       Options
	dialTokens chan struct{} // one token per running dial

	mu      sync.Mutex
	idle    []*connection   // least recently used first
	waiters []chan struct{} // in order of arrival; closing a channel wakes its waiter
	open    int             // number of connections that are idle, in use or being dialled
	limit   int
	closed  bool

	incarnation string // stated by the latest search reply
	replyTime   adaptivetimeout.Estimator
}

// NewPool returns a pool without open connections.
func NewPool(server membership.BackendServer, opts Options) *Pool {
	opts = opts.withDefaults()
	return &Pool{
		server:     server,
		opts:       opts,
		dialTokens: make(chan struct{}, opts.MaxConcurrentDials),
		limit:      opts.MaxConnections,
	}
}

// SetMaxConnections changes the limit on open connections. Idle connections above
// the limit are closed at once, those in use when their call ends.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	for p.open > p.limit && len(p.idle) > 0 {
		p.closeOldestIdleLocked()
	}
	p.wakeWaitersLocked()
}

// Close closes idle connections and refuses new calls. Running calls complete
// normally, after which their connections are closed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeOldestIdleLocked()
	}
	p.wakeWaitersLocked()
}

// Stats returns the number of open and of idle connections.
func (p *Pool) Stats() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// acquire returns a connection, waiting until the limit allows one. If fresh is
// set, it dials a new connection and, if the limit is reached, closes an idle
// one first.
func (p *Pool) acquire(ctx context.Context, fresh bool) (*connection, error) {
	return p.acquireUnless(ctx, fresh, nil)
}

// acquireUnless is acquire, but the wait ends with errLeaves when leaves is closed.
func (p *Pool) acquireUnless(ctx context.Context, fresh bool, leaves <-chan struct{}) (*connection, error) {
	for {
		conn, dial, wait, err := p.tryAcquire(fresh)
		if err != nil || conn != nil {
			return conn, err
		}
		if dial {
			return p.dial(ctx)
		}
		select {
		case <-wait:
		case <-leaves:
			p.removeWaiter(wait)
			return nil, errLeaves
		case <-ctx.Done():
			p.removeWaiter(wait)
			return nil, ctx.Err()
		}
	}
}

// tryAcquire returns an idle connection, or dial set if the caller may dial (the
// slot is already counted in p.open), or a channel that is closed when the caller
// should try again.
func (p *Pool) tryAcquire(fresh bool) (conn *connection, dial bool, wait chan struct{}, err error) {
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
		p.closeOldestIdleLocked()
	}
	if p.open < p.limit {
		p.open++
		return nil, true, nil, nil
	}
	wait = make(chan struct{})
	p.waiters = append(p.waiters, wait)
	return nil, false, wait, nil
}

// popIdleLocked removes and returns the most recently used idle connection that is
// usable, or nil. It closes the unusable ones that it meets.
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

// Warm opens a connection if the pool has none, so that the next call does not
// wait for a dial.
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
	p.keep(conn)
	return nil
}

// release returns a connection whose call has completed to the pool.
func (p *Pool) release(conn *connection) {
	conn.reused = true
	p.keep(conn)
}

// keep adds a connection to the idle ones, or closes it if the pool is closed or above its limit.
// It also closes expired idle connections.
func (p *Pool) keep(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The time is read under the lock so that p.idle stays ordered by last use.
	conn.lastUse = time.Now()
	if p.closed || p.open > p.limit {
		conn.close()
		p.open--
	} else {
		p.idle = append(p.idle, conn)
	}
	for len(p.idle) > 0 && conn.lastUse.Sub(p.idle[0].lastUse) >= p.opts.IdleTimeout {
		p.closeOldestIdleLocked()
	}
	p.wakeWaitersLocked()
}

// discard closes a connection that must not be reused and frees its slot.
func (p *Pool) discard(conn *connection) {
	conn.close()
	p.freeSlot()
}

// freeSlot uncounts a connection that has been closed or could not be dialled,
// and wakes waiters.
func (p *Pool) freeSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wakeWaitersLocked()
}

// closeIdleUnusedSince closes the idle connections that have completed no call
// after the given time and returns their number. The others are known to respond;
// closing them as well would cause reconnects for every call that gets no reply.
func (p *Pool) closeIdleUnusedSince(since time.Time) int {
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
	closed := len(p.idle) - len(kept)
	clear(p.idle[len(kept):])
	p.idle = kept
	p.wakeWaitersLocked()
	return closed
}

// closeOldestIdleLocked closes the least recently used idle connection.
func (p *Pool) closeOldestIdleLocked() {
	p.idle[0].close()
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.open--
}

// wakeWaitersLocked wakes as many waiters as there are free slots and idle
// connections, or all if calls can only fail. A woken waiter tries again; a newer
// call may have taken the connection meanwhile, and the waiter then waits again.
func (p *Pool) wakeWaitersLocked() {
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

// removeWaiter removes a waiter whose call has ended. If the waiter was woken
// meanwhile, its wake-up passes to the next waiter.
func (p *Pool) removeWaiter(wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:i:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wakeWaitersLocked()
}
