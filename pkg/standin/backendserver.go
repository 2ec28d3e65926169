package standin

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// BackendServer simulates one replica of one shard. It is safe for concurrent
// use; faults take effect on requests in progress where the real one would.
type BackendServer struct {
	config   BackendConfig
	address  string
	conns    *connTable
	counters backendCounters
	faults   backendFaults
	replies  atomic.Int64
	previous atomic.Pointer[[]byte] // last search reply, for ReplyCrossed

	mu        sync.Mutex
	random    *rand.Rand   // guarded by mu
	snapshots []int64      // guarded by mu; ascending
	life      *backendLife // guarded by mu; nil while down
	lives     int          // guarded by mu; incarnations so far
	stopped   bool         // guarded by mu; Stop was called
}

// backendLife is the state that a crash of the simulated process loses.
type backendLife struct {
	incarnation string
	ctx         context.Context
	cancel      context.CancelFunc
	gate        *slotGate
	server      *http.Server
	startedAt   time.Time
}

// StartBackendServer starts a server on a loopback port.
func StartBackendServer(config BackendConfig) (*BackendServer, error) {
	if config.Runs == nil {
		config.Runs = &RunLog{}
	}
	seed := xxhash.Sum64String(fmt.Sprintf("%d/%s", config.Seed, config.Member.ID))
	s := &BackendServer{
		config:  config,
		address: config.Member.Address,
		conns:   newConnTable(config.Service.Connections, config.Service.ConnectDelay),
		random:  rand.New(rand.NewPCG(config.Seed, seed)),
	}
	s.SetSnapshots(config.Snapshots...)
	if err := s.Restore(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the listen address, IP:port.
func (s *BackendServer) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// ID returns the backend server's id.
func (s *BackendServer) ID() string { return s.config.Member.ID }

// Member returns the entry of the platform's list.
func (s *BackendServer) Member() membership.BackendServer {
	member := s.config.Member
	member.Address = s.Address()
	member.State = membership.StateLive
	if s.faults.draining() {
		member.State = membership.StateLeaving
	}
	return member
}

// Incarnation returns the id of the running process, "" while it is down.
func (s *BackendServer) Incarnation() string {
	if life := s.current(); life != nil {
		return life.incarnation
	}
	return ""
}

// Restore brings a lost server back as a new incarnation on the same address,
// or on another one when a process has taken that port meanwhile. It does
// nothing while the server runs.
func (s *BackendServer) Restore() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != nil || s.stopped {
		return nil
	}
	listener, err := Listen(s.address)
	if err != nil && s.config.Member.Address == "" {
		listener, err = Listen("")
	}
	if err != nil {
		return eris.Wrapf(err, "backend server %s", s.config.Member.ID)
	}
	s.address = listener.Addr().String()
	s.lives++
	ctx, cancel := context.WithCancel(context.Background())
	s.life = &backendLife{
		incarnation: fmt.Sprintf("%s.%d", s.config.Member.ID, s.lives),
		ctx:         ctx,
		cancel:      cancel,
		gate:        newSlotGate(s.config.Service.Slots),
		startedAt:   time.Now(),
	}
	s.life.server = s.serve(s.life, &limitListener{Listener: listener, table: s.conns})
	return nil
}

func (s *BackendServer) serve(life *backendLife, listener net.Listener) *http.Server {
	server := &http.Server{
		Handler:           s.handler(life),
		ReadHeaderTimeout: time.Minute,
		ErrorLog:          log.New(io.Discard, "", 0), // faults abort connections on purpose
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	go func() { _ = server.Serve(listener) }()
	return server
}

// Lose stops the simulated process: its listener closes and all connections
// are reset. Requests in progress end without a reply.
func (s *BackendServer) Lose() {
	s.mu.Lock()
	life := s.life
	s.life = nil
	s.mu.Unlock()
	if life == nil {
		return
	}
	life.cancel()
	s.conns.resetAll()
	_ = life.server.Close()
	s.conns.resetAll() // connections accepted in between
}

// Stop ends the server for good.
func (s *BackendServer) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.Lose()
}

// Snapshots returns the versions served now, ascending.
func (s *BackendServer) Snapshots() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int64(nil), s.snapshots...)
}

// Stats returns the counters.
func (s *BackendServer) Stats() BackendStats {
	open, peak, opened, rejected := s.conns.counts()
	return BackendStats{
		Searches:          s.counters.searches.Load(),
		Submissions:       s.counters.submissions.Load(),
		Refused:           s.counters.refused.Load(),
		Cancelled:         s.counters.cancelled.Load(),
		AfterDrain:        s.counters.afterDrain.Load(),
		Crashes:           s.counters.crashes.Load(),
		Connections:       open,
		PeakConnections:   peak,
		OpenedConnections: opened,
		OverLimit:         rejected,
	}
}

func (s *BackendServer) current() *backendLife {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

func (s *BackendServer) sampleTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Service.Time.Sample(s.random)
}
