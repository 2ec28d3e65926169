package main

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// store puts a front before the stand-in of the platform's store, which can drop its history: the
// watches hear nothing while a change is made, then they are cut.
type store struct {
	*platformtest.Store
	listener net.Listener
	server   *http.Server

	mu    sync.Mutex
	quiet chan struct{} // closed when watches are no longer heard
	heard chan struct{} // closed when they are heard again
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{Store: platformtest.NewStore(50), listener: listener, quiet: make(chan struct{}), heard: make(chan struct{})}
	close(s.heard)
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() {
	_ = s.server.Close()
	s.Close()
}

// forget makes a change that no watch hears and drops the history.
func (s *store) forget(change func()) {
	s.mu.Lock()
	heard := make(chan struct{})
	s.heard = heard
	close(s.quiet)
	s.quiet = make(chan struct{})
	s.mu.Unlock()
	change()
	time.Sleep(time.Second)
	s.DropHistory()
	close(heard)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "watch") {
		s.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	quiet, heard := s.quiet, s.heard
	s.mu.Unlock()
	select {
	case <-heard:
	case <-r.Context().Done():
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	reply := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.ServeHTTP(reply, r.WithContext(ctx))
	}()
	select {
	case <-done:
		w.WriteHeader(reply.Code)
		_, _ = w.Write(reply.Body.Bytes())
	case <-quiet:
		cancel()
		s.mu.Lock()
		heard = s.heard
		s.mu.Unlock()
		<-heard
		panic(http.ErrAbortHandler) // the watch is cut
	}
}
