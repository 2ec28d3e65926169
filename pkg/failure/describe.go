// Package failure words errors of calls for callers. The errors of the standard
// library name internal addresses and Go types, which are no concern of a caller
// and which a caller must not depend on; they belong in logs and spans.
package failure

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Descriptions of failures.
const (
	DeadlinePassed    = "deadline passed"
	Cancelled         = "cancelled"
	ConnectionRefused = "connection refused"
	NotConnected      = "no connection"
	ConnectionLost    = "connection lost"
	Internal          = "internal error"
)

// Describe names the failure of a call without addresses or Go names.
func Describe(err error) string {
	var operation *net.OpError
	var network net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ConnectionRefused
	case errors.As(err, &operation) && operation.Op == "dial":
		return NotConnected
	case errors.Is(err, context.Canceled):
		return Cancelled
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return DeadlinePassed
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return ConnectionLost
	default:
		return Internal
	}
}
