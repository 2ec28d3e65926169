package backend

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"
)

const (
	// downDialTimeout bounds a dial that shows whether the server is up.
	downDialTimeout = 150 * time.Millisecond
	// recheckDelay is when the server is looked at once more. A process that ends may close the
	// connection of a call some milliseconds before its listener.
	recheckDelay = 100 * time.Millisecond
)

// isTruncated reports whether a call failed because the connection ended during the reply. The
// server may be faulty and go on, or the call has crashed it. Only in the second case it accepts no
// connections.
func isTruncated(conn *connection, err error) bool {
	return conn.receivedBytes > 0 && (errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF))
}

// refusesConnections reports whether the server refuses a new connection. If it accepts one, the
// connection is returned with its slot.
func (p *Pool) refusesConnections(ctx context.Context) (*connection, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), downDialTimeout)
	defer cancel()
	_, dial, wait, err := p.tryAcquire(true)
	switch {
	case err != nil:
		return nil, false
	case !dial: // other calls use all connections
		p.removeWaiter(wait)
		return nil, false
	}
	conn, err := p.dial(ctx)
	return conn, errors.Is(err, syscall.ECONNREFUSED)
}

// ServerDown reports whether the server refuses connections. If not, later is set and reports the
// same after a while; it has to be called.
func (p *Pool) ServerDown(ctx context.Context) (down bool, later func() bool) {
	conn, refused := p.refusesConnections(ctx)
	if refused {
		return true, nil
	}
	return false, p.checkLater(ctx, conn)
}

// checkLater returns a function that reports, after recheckDelay, whether the server is down. Conn
// is a connection that it has accepted meanwhile, or nil.
func (p *Pool) checkLater(ctx context.Context, conn *connection) func() bool {
	return func() bool {
		time.Sleep(recheckDelay)
		switch {
		case conn != nil && conn.usable():
			p.keep(conn)
			return false
		case conn != nil:
			p.discard(conn)
		case p.hasOpenIdle():
			return false
		}
		conn, refused := p.refusesConnections(ctx)
		if conn != nil {
			p.keep(conn)
		}
		return refused
	}
}

// hasOpenIdle reports whether the server has left an idle connection open.
func (p *Pool) hasOpenIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		if conn.usable() {
			return true
		}
	}
	return false
}
