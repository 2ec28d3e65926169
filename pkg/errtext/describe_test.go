package errtext

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against addresses and Go names in texts that callers see.
func TestDescribe(t *testing.T) {
	address := &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7000}
	opError := func(op string, err error) error {
		return fmt.Errorf("send: %w", &net.OpError{Op: op, Net: "tcp", Addr: address, Err: err})
	}
	for want, err := range map[string]error{
		ConnectionRefused: opError("dial", os.NewSyscallError("connect", syscall.ECONNREFUSED)),
		NotConnected:      opError("dial", os.ErrDeadlineExceeded),
		ConnectionLost:    opError("read", syscall.ECONNRESET),
		DeadlinePassed:    fmt.Errorf("call: %w", context.DeadlineExceeded),
		Cancelled:         context.Canceled,
		Internal:          errors.New("json: cannot unmarshal into Go value"),
	} {
		assert.Equal(t, Describe(err), want)
	}
	assert.Equal(t, Describe(io.ErrUnexpectedEOF), ConnectionLost)
}
