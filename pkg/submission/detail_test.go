package submission

import (
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"
)

// Guards against addresses of instances and errors of libraries in what callers
// read, and against the loss of the issuer's own refusal.
func TestTicketErrorIsWordedForCallers(t *testing.T) {
	dial := &net.OpError{Op: "dial", Net: "tcp", Addr: &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7000},
		Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	assert.Equal(t, describeIssue(twirp.InternalErrorWith(dial)), "connection refused")
	assert.Equal(t, describeIssue(errors.New("panic: runtime error")), "internal error")
	assert.Equal(t, describeIssue(twirp.NewError(twirp.Unavailable, "ticket closed")), "ticket closed")
	refusal := Refusal{Reason: ReasonBackend, Status: 1, Cause: dial}
	assert.Assert(t, !strings.Contains(refusal.Error(), "10.0.0.1"), refusal.Error())
	assert.Assert(t, !strings.Contains(refusal.Error(), "_"), refusal.Error())
}
