package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// extraMark begins the proof of an extra response, which belongs to no request.
const extraMark = "extra."

// faultyServer is a stand-in for a backend server that may turn slow and send extra responses. It
// serves one request at a time on a connection and works on at most two.
type faultyServer struct {
	id, service, zone string
	listener          net.Listener
	slots             chan struct{}

	mu       sync.Mutex
	work     time.Duration
	extra    float64 // share of the answers after which an extra response follows
	answers  int
	extras   int
	proofs   map[string]string // proofs of good answers, by request id
	failures map[string]int    // failures by request id
}

func newFaultyServer(id, service, zone string, work time.Duration) (*faultyServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &faultyServer{id: id, service: service, zone: zone, listener: listener, slots: make(chan struct{}, 2), work: work,
		proofs: map[string]string{}, failures: map[string]int{}}
	go s.serve()
	return s, nil
}

// entry is the entry of the server in the store.
func (s *faultyServer) entry() string {
	return fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"version":"v1","capacity":2,"state":"ready","warmup_left_ms":0,"sequence":1,"born":5}`,
		s.service, s.listener.Addr(), s.zone)
}

func (s *faultyServer) set(work time.Duration, extra float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work, s.extra = work, extra
}

func (s *faultyServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *faultyServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	extraFor := "" // id of the request that an extra response follows late
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get(platformtest.HeaderRequestID)
		var out bytes.Buffer
		if extraFor != "" {
			// Late: at the point where the next response is expected.
			respond(&out, http.StatusOK, extraFor, extraMark+s.service, bytes.Repeat([]byte{0xff}, 16))
			extraFor = ""
		}
		if request.Header.Get(platformtest.HeaderServerID) != s.id {
			respond(&out, http.StatusMisdirectedRequest, id, "", nil)
		} else if s.run(request) {
			respond(&out, http.StatusOK, id, s.good(id), []byte(platformtest.Record(s.service)))
		} else {
			respond(&out, http.StatusGatewayTimeout, id, s.failed(id), nil)
		}
		if _, err := conn.Write(out.Bytes()); err != nil {
			return
		}
		if s.sendsExtra() {
			extraFor = id
		}
	}
}

// run works on a request until it is done or the time that the sender stated is over.
func (s *faultyServer) run(request *http.Request) (done bool) {
	limit := time.Hour
	if ms, err := strconv.Atoi(request.Header.Get(platformtest.HeaderTimeoutMs)); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case s.slots <- struct{}{}:
	case <-timeout.C:
		return false
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	work := s.work
	s.mu.Unlock()
	select {
	case <-time.After(work):
		return true
	case <-timeout.C:
		return false
	}
}

func (s *faultyServer) good(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proofs[id] = platformtest.Proof(s.service, id)
	return s.proofs[id]
}

func (s *faultyServer) failed(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures[id]++
	return "failure." + s.service + "." + id
}

func (s *faultyServer) sendsExtra() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if rand.Float64() >= s.extra {
		return false
	}
	s.extras++
	return true
}

// history tells what the server has answered to a request.
func (s *faultyServer) history(id string) (proof string, failures int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proofs[id], s.failures[id]
}

func respond(out *bytes.Buffer, status int, id, proof string, body []byte) {
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s: %s\r\n", status, http.StatusText(status), len(body), platformtest.HeaderRequestID, id)
	if proof != "" {
		fmt.Fprintf(out, "%s: %s\r\n", platformtest.HeaderProof, proof)
	}
	out.WriteString("\r\n")
	out.Write(body)
}
