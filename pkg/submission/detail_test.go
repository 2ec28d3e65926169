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

// Guards against refusals that show callers instance addresses or raw library
// errors, and against dropping the issuer's own reason for refusing a ticket.
func TestTicketErrorIsWordedForCallers(t *testing.T) {
	dial := &net.OpError{Op: "dial", Net: "tcp", Addr: &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7000},
		Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	assert.Equal(t, describeIssueError(twirp.InternalErrorWith(dial)), "connection refused")
	assert.Equal(t, describeIssueError(errors.New("panic: runtime error")), "internal error")
	assert.Equal(t, describeIssueError(twirp.NewError(twirp.Unavailable, "ticket closed")), "ticket closed")
	refusal := Refusal{Reason: ReasonBackend, Status: 1, Cause: dial}
	assert.Assert(t, !strings.Contains(refusal.Error(), "10.0.0.1"), refusal.Error())
	assert.Assert(t, !strings.Contains(refusal.Error(), "_"), refusal.Error())
}
