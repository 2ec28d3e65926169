package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"
	"gotest.tools/v3/assert"
)

// Guards against a listener that goes on serving when the supervisor stops without a
// shutdown of the listener. The supervisor would then wait until its stop timeout and
// log a warning.
func TestListenerEndsWithTheSupervisor(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &listener{name: "peer", socket: socket, server: &http.Server{Handler: http.NotFoundHandler()}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Serve(ctx) }()
	response, err := http.Get("http://" + socket.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	cancel()
	select {
	case err := <-ended:
		assert.Equal(t, err, suture.ErrDoNotRestart)
	case <-time.After(5 * time.Second):
		t.Fatal("the listener still serves")
	}
}
