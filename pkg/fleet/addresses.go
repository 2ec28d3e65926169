package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
)

// Ports below the kernel's default range for outgoing connections (32768 to
// 60999). A port of that range could be taken by a connection between its
// reservation and the start of the instance, or during a restart.
const (
	firstPort    = 12_000
	lastPort     = 32_000
	portAttempts = 200
)

// freeAddresses returns loopback addresses that are free now.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer listener.Close()
		addresses = append(addresses, address)
		if len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, eris.New("no free ports")
}
