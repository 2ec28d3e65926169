package backend

import (
	"context"
	"crypto/tls"
	"net"
)

// dial opens a connection for the slot that the caller has already counted in
// p.open, and frees the slot if dialling fails.
func (p *Pool) dial(ctx context.Context) (*connection, error) {
	conn, err := p.dialWithToken(ctx)
	if err != nil {
		p.freeSlot()
		return nil, err
	}
	return conn, nil
}

// dialWithToken waits for a dial token, then connects and, if configured, runs
// the TLS handshake. The dial timeout starts when the token is obtained.
func (p *Pool) dialWithToken(ctx context.Context) (*connection, error) {
	select {
	case p.dialTokens <- struct{}{}:
		defer func() { <-p.dialTokens }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", p.server.Address)
	if err != nil {
		return nil, err
	}
	if p.opts.TLS == nil {
		return newConnection(raw, raw), nil
	}
	return p.handshake(ctx, raw)
}

// handshake runs the TLS handshake over raw. The server name defaults to the
// host of the server's address.
func (p *Pool) handshake(ctx context.Context, raw net.Conn) (*connection, error) {
	config := p.opts.TLS
	if config.ServerName == "" && !config.InsecureSkipVerify {
		host, _, err := net.SplitHostPort(p.server.Address)
		if err != nil {
			_ = raw.Close()
			return nil, err
		}
		config = config.Clone()
		config.ServerName = host
	}
	secure := tls.Client(raw, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return newConnection(secure, raw), nil
}
