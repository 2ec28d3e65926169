package backend

import (
	"context"
	"net/http"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Probe pings a backend server on a new connection outside any pool and returns
// the state that the reply headers state. It runs no request on the server.
func Probe(ctx context.Context, server membership.BackendServer, opts Options) (ServerState, error) {
	opts.MaxConnections = 1
	p := NewPool(server, opts)
	defer p.Close()
	return p.ping(ctx)
}

// ping sends one ping on a new connection, which it closes afterwards.
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
		return ServerState{}, classifyExchangeError(ctx, conn, err)
	}
	return r.state, nil
}
