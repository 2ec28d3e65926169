package forward

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

// Call is one attempt at a backend server.
type Call struct {
	Request *Request
	Server  *directory.Server
	// Connections is the number of connections to the server that this instance
	// may hold.
	Connections int
	// Fresh asks for a new connection: a request that may run only once must not
	// be lost to a connection that the server is closing.
	Fresh bool
	// Until is when the server may stop: a later reply is of no use.
	Until time.Time
	// Needed is asked before the request is written, possibly after a wait for a
	// connection. An attempt that is no longer needed is not sent.
	Needed func() bool
}

// Caller sends attempts. Its error is a *CallError. The deadline of the attempt
// is that of the context, which has one; when the context is cancelled the attempt ends at once.
type Caller interface {
	Call(ctx context.Context, call Call) (*Reply, error)
}
