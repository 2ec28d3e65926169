package backend

import (
	"context"
	"net/http"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Probe asks a backend server for its state on a connection of its own. It runs
// nothing; the state is that of the server's own reply headers.
func Probe(ctx context.Context, server membership.BackendServer, opts Options) (ServerState, error) {
	opts.Connections = 1
	p := NewPool(server, opts)
	defer p.Close()
	return p.ping(ctx)
}

// ping sends one ping on a new connection.
func (p *Pool) ping(ctx context.Context) (ServerState, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	conn, err := p.acquire(ctx, true)
	if err != nil {
		return ServerState{}, acquireError(ctx, err)
	}
	defer p.discard(conn)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url("/v1/ping"), nil)
	if err != nil {
		return ServerState{}, err
	}
	if p.opts.Zone != "" {
		req.Header.Set(HeaderZone, p.opts.Zone)
	}
	r, err := p.exchange(ctx, conn, req, pingTimeout)
	if err != nil {
		return ServerState{}, classify(ctx, conn, err)
	}
	return r.state, nil
}
