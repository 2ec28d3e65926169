package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// serveAdmin serves the admin endpoint until the context ends.
func serveAdmin(ctx context.Context, address string, handler http.Handler, ready func(string)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "admin listener")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	ready(listener.Addr().String())
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return eris.Wrap(err, "admin listener")
	}
	return nil
}
