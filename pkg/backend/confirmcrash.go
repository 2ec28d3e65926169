package backend

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// pingTimeout bounds a ping, including the wait for a connection.
const pingTimeout = 150 * time.Millisecond

// confirm corrects the status of a call whose connection was lost: before the reply, unless the
// server turns out to be up, and during the reply, if it turns out to be down.
func (p *Pool) confirm(ctx context.Context, conn *connection, failure *CallError, err error) {
	switch {
	case failure.Status == peerpb.ResultStatus_CRASHED:
		if !p.confirmCrash(ctx) {
			failure.Status = peerpb.ResultStatus_UNREACHABLE
		}
	case ctx.Err() == nil && isTruncated(conn, err) && p.confirmCrash(ctx):
		failure.Status = peerpb.ResultStatus_CRASHED
	}
}

// confirmCrash reports, after a connection was lost during a request, whether
// the backend server itself went down: it accepts no new connection or has a
// new incarnation. A server may also close a single connection because of its
// connection limit or because the connection was idle; the request must not
// count as a crashing request then.
func (p *Pool) confirmCrash(ctx context.Context) bool {
	previous := p.lastIncarnation()
	state, err := p.ping(context.WithoutCancel(ctx))
	var failure *CallError
	if errors.As(err, &failure) && failure.RunState == peerpb.RunState_RUN_STATE_NOT_RUN {
		return true // no connection could be opened
	}
	if err != nil {
		return false // the server accepts connections, but closes or stalls them
	}
	return previous != "" && state.Incarnation != previous
}

// lastIncarnation returns the incarnation that the latest search reply stated,
// or "" before the first one.
func (p *Pool) lastIncarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// recordIncarnation stores the incarnation that a reply stated, if any.
func (p *Pool) recordIncarnation(incarnation string) {
	if incarnation == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation = incarnation
}
