package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// Ports below the kernel's default range for outgoing connections (32768 to
// 60999). An outgoing connection could take a port of that range while its
// listener is closed, for example during a restart.
const (
	firstPort    = 12_000
	lastPort     = 32_000
	portAttempts = 200
)

// A port may still be held for a moment after its listener was closed.
const (
	listenAttempts = 40
	listenPause    = 50 * time.Millisecond
)

// Listen opens a listener on a TCP address, also one that was closed only just
// now. An empty address takes a free loopback port that stays usable for a
// later Listen.
func Listen(address string) (net.Listener, error) {
	if address == "" {
		return listenAnywhere()
	}
	var err error
	for range listenAttempts {
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(listenPause)
	}
	return nil, eris.Wrap(err, "listen again")
}

func listenAnywhere() (net.Listener, error) {
	var err error
	for range portAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return listener, nil
		}
	}
	return nil, eris.Wrap(err, "no free port")
}
