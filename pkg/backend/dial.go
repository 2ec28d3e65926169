package backend

import (
	"context"
	"crypto/tls"
	"net"
)

// dial opens a connection for a place that the caller has taken, and gives the
// place back when it fails.
func (p *Pool) dial(ctx context.Context) (*connection, error) {
	conn, err := p.dialLimited(ctx)
	if err != nil {
		p.forget()
		return nil, err
	}
	return conn, nil
}

func (p *Pool) dialLimited(ctx context.Context) (*connection, error) {
	select {
	case p.dials <- struct{}{}:
		defer func() { <-p.dials }()
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
