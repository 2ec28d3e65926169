package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// midwayServer is a backend server that one request crashes while it answers: the head and a part of
// the body are out, then the process is gone.
type midwayServer struct {
	id       string
	crashes  bool
	listener net.Listener
	server   *http.Server

	mu   sync.Mutex
	runs map[string]time.Time // by request id
}

func newMidwayServer(id string, crashes bool) (*midwayServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &midwayServer{id: id, crashes: crashes, listener: listener, runs: map[string]time.Time{}}
	m.server = &http.Server{Handler: http.HandlerFunc(m.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = m.server.Serve(listener) }()
	return m, nil
}

// entry returns what the server writes about itself to the store.
func (m *midwayServer) entry() string {
	described := &platformtest.Server{ID: m.id, Service: "single", Zone: "zone-a"}
	return described.Entry(m.listener.Addr().String(), "ready")
}

func (m *midwayServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(platformtest.HeaderServerID) != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(platformtest.HeaderRequestID)
	m.mu.Lock()
	m.runs[id] = time.Now()
	m.mu.Unlock()
	body := platformtest.Record("single")
	w.Header().Set(platformtest.HeaderRequestID, id)
	w.Header().Set(platformtest.HeaderProof, platformtest.Proof("single", id))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write([]byte(body[:len(body)/2]))
	_ = http.NewResponseController(w).Flush()
	time.Sleep(10 * time.Millisecond)
	if m.crashes {
		_ = m.server.Close()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(body[len(body)/2:]))
}

func (m *midwayServer) ran() map[string]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ran := make(map[string]time.Time, len(m.runs))
	for id, at := range m.runs {
		ran[id] = at
	}
	return ran
}
