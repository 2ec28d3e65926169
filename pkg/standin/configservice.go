package standin

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// ConfigReadsPerSecond is the read limit of the platform's service.
	ConfigReadsPerSecond = 2000
	// ConfigValueLimit is the largest value in bytes.
	ConfigValueLimit = 1 << 20
	// configLatency is the time until the service answers a call.
	configLatency = 2 * time.Millisecond
)

// ConfigService simulates the platform's configuration service. Publish is the
// platform's own side; readers use the HTTP protocol. It is safe for
// concurrent use.
type ConfigService struct {
	limit    readLimit
	faults   configFaults
	counters configCounters
	servers  []*http.Server // set before Start returns
	address  string
	second   string // second listen address, for faults by address

	mu       sync.Mutex
	revision int64                    // guarded by mu
	history  map[string][]configValue // guarded by mu; ascending revisions
	changed  chan struct{}            // guarded by mu; closed when state changes
}

type configCounters struct {
	calls, reads, watches, limited, refused, pending, bytesSent, connections atomic.Int64
}

// StartConfigService starts the service on the loopback addresses given; an
// empty one takes a free port.
func StartConfigService(address, secondAddress string) (*ConfigService, error) {
	s := &ConfigService{
		limit:   readLimit{perSecond: ConfigReadsPerSecond},
		history: map[string][]configValue{},
		changed: make(chan struct{}),
	}
	var err error
	if s.address, err = s.listen(address); err != nil {
		return nil, err
	}
	if s.second, err = s.listen(secondAddress); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *ConfigService) listen(address string) (string, error) {
	listener, err := Listen(address)
	if err != nil {
		return "", eris.Wrap(err, "configuration service")
	}
	bound := listener.Addr().String()
	server := &http.Server{
		Handler:           s.handler(bound),
		ReadHeaderTimeout: time.Minute,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			s.counters.connections.Add(1)
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return bound, nil
}

// Address returns the first listen address, IP:port.
func (s *ConfigService) Address() string { return s.address }

// SecondAddress returns the other listen address. Both serve the same keys
// unless a split names one of them.
func (s *ConfigService) SecondAddress() string { return s.second }

// Publish stores a new value and returns its revision.
func (s *ConfigService) Publish(key string, data []byte) (int64, error) {
	if len(data) > ConfigValueLimit {
		return 0, eris.Errorf("value of %s has %d bytes, above the limit of %d", key, len(data), ConfigValueLimit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	value := configValue{revision: s.revision, data: append([]byte(nil), data...)}
	s.history[key] = append(s.history[key], value)
	s.wakeLocked()
	return s.revision, nil
}

// Revision returns the newest revision.
func (s *ConfigService) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Stats returns the counters.
func (s *ConfigService) Stats() ConfigStats {
	return ConfigStats{
		Calls:       s.counters.calls.Load(),
		Reads:       s.counters.reads.Load(),
		Watches:     s.counters.watches.Load(),
		Limited:     s.counters.limited.Load(),
		Refused:     s.counters.refused.Load(),
		Pending:     s.counters.pending.Load(),
		BytesSent:   s.counters.bytesSent.Load(),
		Connections: s.counters.connections.Load(),
		PeakPerSec:  s.limit.peakPerSecond(),
	}
}

// Stop ends the service.
func (s *ConfigService) Stop() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// wakeLocked wakes pending watches; the caller holds mu.
func (s *ConfigService) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns a key's value as of a revision.
func (s *ConfigService) read(key string, asOf int64) (configValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return valueAt(s.history[key], asOf)
}

// newer returns the revisions of all keys as of a revision, if any is newer
// than after, and otherwise a channel that closes at the next change.
func (s *ConfigService) newer(after, asOf int64) (watchReply, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := watchReply{Keys: map[string]int64{}}
	for key, history := range s.history {
		if value, ok := valueAt(history, asOf); ok {
			reply.Keys[key] = value.revision
			reply.Revision = max(reply.Revision, value.revision)
		}
	}
	return reply, reply.Revision > after, s.changed
}
