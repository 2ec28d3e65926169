package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does with the bytes of its connections.
type proxyMode int

const (
	pass   proxyMode = iota
	delay            // each piece waits
	jitter           // each piece waits for a time of its own
	lossy            // some pieces wait as long as their repetition takes
	oneWay           // the answers are held back
	silent           // nothing is passed on, also on new connections
)

const (
	// pieceDelay is the wait of delayed pieces, longer than a hedge, and the longest one
	// of pieces whose delay changes.
	pieceDelay = 80 * time.Millisecond
	// lostShare of the pieces is lost once. TCP repeats them after repeatDelay, the least
	// time on Linux; a proxy above TCP cannot lose a piece in another way.
	lostShare   = 0.2
	repeatDelay = 200 * time.Millisecond
)

// proxy forwards TCP connections on loopback to one address.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	heal  chan struct{} // closed when the mode is pass
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, heal: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(p.heal)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.mode == pass && mode != pass:
		p.heal = make(chan struct{})
	case p.mode != pass && mode == pass:
		close(p.heal)
	}
	p.mode = mode
}

// reset closes all connections so that both sides see a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) close() {
	p.set(pass)
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer p.forget(client)
	p.keep(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.forget(server)
	p.keep(server)
	done := make(chan struct{}, 2)
	go p.copy(server, client, false, done)
	go p.copy(client, server, true, done)
	<-done
}

func (p *proxy) keep(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
}

func (p *proxy) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *proxy) copy(to, from net.Conn, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(answers)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				p.hold(answers)
			}
			return
		}
	}
}

// hold waits as the mode says.
func (p *proxy) hold(answers bool) {
	p.mu.Lock()
	mode, heal := p.mode, p.heal
	p.mu.Unlock()
	switch {
	case mode == delay:
		time.Sleep(pieceDelay)
	case mode == jitter:
		time.Sleep(time.Duration(rand.Int64N(int64(pieceDelay))))
	case mode == lossy && rand.Float64() < lostShare:
		time.Sleep(repeatDelay)
	case mode == silent, mode == oneWay && answers:
		<-heal
	}
}
