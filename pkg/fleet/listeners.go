package fleet

import (
	"net"

	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Listeners are the open sockets of an instance. They are opened before the
// instance starts, because the platform's list names their addresses and a
// port that is only known to be free may be taken by then.
type Listeners struct {
	Caller, Peer, Operator net.Listener
}

// listen opens listeners on the addresses given; empty ones take free ports.
// None stays open when the error is set.
func listen(caller, peer, operator string) (l Listeners, err error) {
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	if l.Caller, err = standin.Listen(caller); err != nil {
		return l, err
	}
	if l.Peer, err = standin.Listen(peer); err != nil {
		return l, err
	}
	l.Operator, err = standin.Listen(operator)
	return l, err
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Caller, l.Peer, l.Operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
