package fleet

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// Listeners are the open sockets of an instance. They are opened before the
// instance starts, because the platform's list names their addresses and a
// port that is only known to be free may be taken by then.
type Listeners struct {
	Caller, Peer, Operator net.Listener
}

// listen opens listeners on the addresses given; empty ones take free ports.
func listen(caller, peer, operator string) (Listeners, error) {
	var l Listeners
	var err error
	if l.Caller, err = listenOn(caller); err != nil {
		return l, err
	}
	if l.Peer, err = listenOn(peer); err != nil {
		return l, err
	}
	l.Operator, err = listenOn(operator)
	return l, err
}

// After a restart the port may still be held for a moment.
const (
	listenAttempts = 40
	listenPause    = 50 * time.Millisecond
)

func listenOn(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var err error
	for range listenAttempts {
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(listenPause)
	}
	return nil, eris.Wrap(err, "open a listener of an instance")
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Caller, l.Peer, l.Operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
