package forward

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

// Call describes one attempt at a backend server.
type Call struct {
	Request *Request
	Server  *directory.Server
	// Connections is the number of connections to the server that this instance
	// may hold.
	Connections int
	// NewConnection requires a new connection. A request that may run only once must not be
	// sent on a kept connection, which the server may be closing.
	NewConnection bool
	// Until is the time at which the server may stop work, because a later reply is of
	// no use.
	Until time.Time
	// Leaves is closed when the server begins to leave. An attempt that waits for a connection
	// then ends without being sent. It is nil for a server that leaves already.
	Leaves <-chan struct{}
	// Send is called once, right before the first byte of the request is written, possibly
	// after a wait for a connection. If it returns false, nothing may be written.
	Send func() bool
}

// BackendClient sends attempts to backend servers. It returns errors as *CallError. The context
// has a deadline, which is that of the attempt; cancelling the context ends the attempt
// immediately.
type BackendClient interface {
	Call(ctx context.Context, call Call) (*Reply, error)
	// ServerDown reports whether a server to which there was a connection accepts no more of them.
	// If it does, later may be set, which reports the same after a while and has to be called.
	ServerDown(server *directory.Server) (down bool, later func() bool)
}
