package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
)

// listener is one HTTP server, supervised by suture. The socket is opened once
// and survives a restart of the service.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server

	mu       sync.Mutex
	stopping bool // guarded by mu
}

// newListener opens the socket of a server.
func newListener(name, address string, given net.Listener, tlsConfig *tls.Config, handler http.Handler, limits settings.Limits) (*listener, error) {
	socket := given
	if socket == nil {
		opened, err := net.Listen("tcp", address)
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s address", name)
		}
		socket = opened
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		Protocols:         protocols,
		ReadHeaderTimeout: limits.ReadTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
	return &listener{name: name, socket: socket, server: server}, nil
}

// Serve accepts connections until the server is shut down.
func (l *listener) Serve(context.Context) error {
	var err error
	if l.server.TLSConfig != nil {
		err = l.server.ServeTLS(l.socket, "", "")
	} else {
		err = l.server.Serve(l.socket)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping || errors.Is(err, http.ErrServerClosed) {
		return errDoNotRestart
	}
	return eris.Wrapf(err, "serve %s listener", l.name)
}

// shutdown closes the socket and waits for requests in progress until ctx ends.
func (l *listener) shutdown(ctx context.Context) error {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	return err
}

// abort closes the socket and all connections.
func (l *listener) abort() {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	_ = l.server.Close()
	_ = l.socket.Close()
}

// String names the service in the supervisor's logs.
func (l *listener) String() string { return l.name + " listener" }
