package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/socket"
)

type callerConnectionKey struct{}

// callerConnection is a connection that a caller has opened.
type callerConnection struct {
	conn     net.Conn
	requests atomic.Int64
}

// ConnContext is the http.Server.ConnContext hook of the listener of callers. With it, requests
// know how long their packets are on the way.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnectionKey{}, &callerConnection{conn: conn})
}

// networkTime returns how much of a caller's time the network takes for the next request of the
// connection of ctx, or 0 if the round trip is unknown.
func networkTime(ctx context.Context) time.Duration {
	c, ok := ctx.Value(callerConnectionKey{}).(*callerConnection)
	if !ok {
		return 0
	}
	first := c.requests.Add(1) == 1
	roundTrip, known := socket.RoundTrip(c.conn)
	if !known {
		return 0
	}
	return timeOnNetwork(roundTrip, first)
}

// timeOnNetwork returns the time of a request and its answer on the network. The first request of
// a connection waits one more round trip until the connection is open.
func timeOnNetwork(roundTrip time.Duration, first bool) time.Duration {
	if first {
		return 2 * roundTrip
	}
	return roundTrip
}
