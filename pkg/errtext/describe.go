// Package errtext describes errors of calls in texts for callers. Errors of the
// standard library contain internal addresses and Go types. Callers need not see
// these and must not depend on them; they belong in logs and spans.
package errtext

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Texts that Describe returns.
const (
	DeadlinePassed    = "deadline passed"
	Cancelled         = "cancelled"
	ConnectionRefused = "connection refused"
	NotConnected      = "no connection"
	ConnectionLost    = "connection lost"
	Internal          = "internal error"
)

// Describe returns a text for the error of a call, without addresses or Go names.
func Describe(err error) string {
	var opErr *net.OpError
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ConnectionRefused
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return NotConnected
	case errors.Is(err, context.Canceled):
		return Cancelled
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return DeadlinePassed
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return ConnectionLost
	default:
		return Internal
	}
}
