package standin

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

const (
	linkChunkBytes  = 32 << 10
	linkDialTimeout = time.Second
)

// PeerLink forwards the connections of other instances to one instance's peer
// listener, with the delay between the two zones. It recognizes the sender by
// the instance id that each message between instances carries, so it works for
// cleartext connections only.
type PeerLink struct {
	network  *Network
	to       membership.Instance // Address is the one that the link started with
	listener net.Listener

	mu     sync.Mutex
	target string                // guarded by mu; the instance's own listener
	open   map[net.Conn]struct{} // guarded by mu
	closed bool                  // guarded by mu
}

// Link starts a link to an instance and returns it.
func (n *Network) Link(to membership.Instance) (*PeerLink, error) {
	listener, err := Listen("")
	if err != nil {
		return nil, eris.Wrapf(err, "link to instance %s", to.ID)
	}
	n.Add(to)
	link := &PeerLink{network: n, to: to, target: to.Address, listener: listener, open: map[net.Conn]struct{}{}}
	go link.accept()
	return link, nil
}

// Address returns the address that other instances connect to.
func (l *PeerLink) Address() string { return l.listener.Addr().String() }

// SetTarget sets the address of the instance's own listener, for an instance
// that has moved.
func (l *PeerLink) SetTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

func (l *PeerLink) targetAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target
}

// Stop closes the link and its connections.
func (l *PeerLink) Stop() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.open {
		_ = conn.Close()
	}
}

func (l *PeerLink) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *PeerLink) forward(from net.Conn) {
	to, err := net.DialTimeout("tcp", l.targetAddress(), linkDialTimeout)
	if err != nil {
		resetConn(from)
		return
	}
	if !l.track(from, to) {
		return
	}
	defer l.untrack(from, to)
	sender := &linkSender{network: l.network, to: l.to}
	var group sync.WaitGroup
	group.Go(func() { l.pipe(from, to, sender, true) })
	group.Go(func() { l.pipe(to, from, sender, false) })
	group.Wait()
}

// pipe copies one direction. Reading and writing are separate, so that the
// delay does not limit the throughput.
func (l *PeerLink) pipe(from, to net.Conn, sender *linkSender, forward bool) {
	chunks := make(chan linkChunk, 256)
	go readChunks(from, chunks, sender, forward)
	for chunk := range chunks {
		if wait := time.Until(chunk.due); wait > 0 {
			time.Sleep(wait)
		}
		sender.waitConnected()
		if _, err := to.Write(chunk.data); err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	for range chunks { // lets the reader end
	}
}

func readChunks(from net.Conn, chunks chan<- linkChunk, sender *linkSender, forward bool) {
	defer close(chunks)
	for {
		buffer := make([]byte, linkChunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			if forward {
				sender.recognize(buffer[:n])
			}
			chunks <- linkChunk{data: buffer[:n], due: time.Now().Add(sender.delay(forward))}
		}
		if err != nil {
			return
		}
	}
}

func (l *PeerLink) track(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		if l.closed {
			_ = conn.Close()
			continue
		}
		l.open[conn] = struct{}{}
	}
	return !l.closed
}

func (l *PeerLink) untrack(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.open, conn)
	}
}
