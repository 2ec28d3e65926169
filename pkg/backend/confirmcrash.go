package backend

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// pingTimeout bounds the look whether a backend server still runs.
const pingTimeout = 150 * time.Millisecond

// confirmCrash reports whether the backend server went down with a connection
// that was lost: it refuses connections or has a new incarnation. A server that
// closed one connection, because of its own connection limit or because it was
// idle, must not count as crashed by the request.
func (p *Pool) confirmCrash(ctx context.Context) bool {
	before := p.lastIncarnation()
	state, err := p.ping(context.WithoutCancel(ctx))
	var failure *CallError
	if errors.As(err, &failure) && failure.Run == peerpb.RunState_RUN_STATE_NOT_RUN {
		return true // no connection could be opened
	}
	if err != nil {
		return false // it accepts connections, and closes or stalls them
	}
	return before != "" && state.Incarnation != before
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
