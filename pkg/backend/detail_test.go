package backend

import (
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// Guards against showing the address of a backend server to callers. The log
// needs the address, so Error includes it.
func TestDetailHasNoAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = poolFor(t, address, Options{}).Search(testContext(t), testCall)
	failure := wantFailure(t, err, peerpb.ResultStatus_UNREACHABLE, noRun)
	assert.Equal(t, failure.Detail, "connection refused")
	assert.Assert(t, strings.Contains(failure.Error(), address), failure.Error())
}
