package main

import (
	"io"
	"net"
	"sync"
)

// proxy is the way of one instance to the store. While it is cut, it neither forwards nor resets
// anything.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.keep(conn)
		if p.isCut() {
			continue // it stays silent until the cut ends
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		p.keep(upstream)
		go p.forward(upstream, conn)
		go p.forward(conn, upstream)
	}
}

func (p *proxy) keep(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conn)
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// forward copies until the connection ends. What arrives during a cut is lost.
func (p *proxy) forward(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.isCut() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, werr := to.Write(buffer[:n]); werr != nil || err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// setCut begins or ends a cut. At its end the connections from before and during it are closed.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		p.closeLocked()
	}
}

func (p *proxy) closeLocked() {
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked()
}
