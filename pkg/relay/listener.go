package relay

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"
)

// listener is a supervised HTTP server. Its socket is opened once and remains open when
// the supervisor restarts the service.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
}

// Serve implements suture.Service.
func (l *listener) Serve(ctx context.Context) error {
	// When ctx ends, the requests have ended or have used up the drain timeout. Close can
	// only fail to close sockets, which the end of the process closes anyway.
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return suture.ErrDoNotRestart
	}
	return eris.Wrapf(err, "serve %s listener", l.name)
}

// shutdown closes the socket and waits for requests in flight until ctx ends.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return errors.Join(eris.Wrapf(err, "shut down %s listener", l.name), l.server.Close())
	}
	return nil
}

// String names the service in the supervisor's log.
func (l *listener) String() string { return l.name + " listener" }
