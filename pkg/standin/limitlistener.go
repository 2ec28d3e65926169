package standin

import "net"

// limitListener accepts connections into a connTable.
type limitListener struct {
	net.Listener
	table *connTable
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accepted, ok := l.table.admit(conn); ok {
			return accepted, nil
		}
	}
}
