package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a margin for the way of the answer that leaves out the handshake of a new
// connection, or counts it for each request of a kept one.
func TestFirstRequestOfAConnectionCountsTheHandshake(t *testing.T) {
	const roundTrip = 6 * time.Millisecond
	assert.Equal(t, timeOnNetwork(roundTrip, true), 2*roundTrip)
	assert.Equal(t, timeOnNetwork(roundTrip, false), roundTrip)
}

// Guards against a listener whose requests do not know their connection: all of them would be
// answered with the fixed margin.
func TestRequestsOfAListenerKnowTheirNetworkTime(t *testing.T) {
	var times []time.Duration
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		times = append(times, networkTime(r.Context()))
	}))
	server.Config.ConnContext = ConnContext
	server.Start()
	defer server.Close()
	for range 2 {
		response, err := server.Client().Get(server.URL)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
	assert.Equal(t, len(times), 2)
	assert.Assert(t, times[0] > 0 && times[1] > 0, "%v", times)
}

// Guards against a panic, or a guess, for connections whose round trip the system does not know.
func TestNetworkTimeOfAnUnknownConnectionIsZero(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	assert.Equal(t, networkTime(t.Context()), time.Duration(0))
	assert.Equal(t, networkTime(ConnContext(t.Context(), here)), time.Duration(0))
}
