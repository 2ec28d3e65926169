package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// maxWatchWait bounds a watch whatever the reader asks for.
const maxWatchWait = 60 * time.Second

type watchReply struct {
	Revision int64            `json:"revision"`
	Keys     map[string]int64 `json:"keys"`
}

func (s *ConfigService) handler(address string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key...}", func(writer http.ResponseWriter, request *http.Request) {
		s.counters.reads.Add(1)
		if s.admit(writer, request) {
			s.serveKey(writer, request, address)
		}
	})
	mux.HandleFunc("GET /v1/watch", func(writer http.ResponseWriter, request *http.Request) {
		s.counters.watches.Add(1)
		if s.admit(writer, request) {
			s.serveWatch(writer, request, address)
		}
	})
	return mux
}

// admit counts the call, fails it during an outage and enforces the limit.
func (s *ConfigService) admit(writer http.ResponseWriter, request *http.Request) bool {
	s.counters.calls.Add(1)
	if !s.failDuringOutage(writer, request) {
		return false
	}
	if !s.limit.admit(time.Now()) {
		s.counters.limited.Add(1)
		writer.Header().Set("Retry-After", "1")
		writer.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	time.Sleep(configLatency)
	return true
}

func (s *ConfigService) failDuringOutage(writer http.ResponseWriter, request *http.Request) bool {
	kind, ended := s.faults.down()
	switch kind {
	case "":
		return true
	case OutageError:
		s.counters.refused.Add(1)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return false
	case OutageHang:
		select {
		case <-ended:
		case <-request.Context().Done():
		}
	}
	s.counters.refused.Add(1)
	resetRequest(request)
	panic(http.ErrAbortHandler)
}

// resetRequest makes the reader see a TCP reset.
func resetRequest(request *http.Request) {
	switch conn := request.Context().Value(connKey{}).(type) {
	case *serverConn:
		conn.reset()
	case interface{ SetLinger(int) error }:
		_ = conn.SetLinger(0)
	}
}

func (s *ConfigService) serveKey(writer http.ResponseWriter, request *http.Request, address string) {
	value, ok := s.read(request.PathValue("key"), s.faults.asOf(request, address))
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	s.counters.bytesSent.Add(int64(len(value.data)))
	writer.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatInt(value.revision, 10)))
	writer.Header().Set("Content-Type", "application/octet-stream")
	_, _ = writer.Write(value.data)
}

func (s *ConfigService) serveWatch(writer http.ResponseWriter, request *http.Request, address string) {
	after, err := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(writer, "after is not a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(request.URL.Query().Get("wait"))
	if err != nil {
		http.Error(writer, "wait is not a duration", http.StatusBadRequest)
		return
	}
	s.counters.pending.Add(1)
	defer s.counters.pending.Add(-1)
	s.await(writer, request, address, after, min(wait, maxWatchWait))
}

func (s *ConfigService) await(writer http.ResponseWriter, request *http.Request, address string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, changed, next := s.newer(after, s.faults.asOf(request, address))
		if !s.failDuringOutage(writer, request) {
			return
		}
		if changed {
			writer.Header().Set("Content-Type", "application/json")
			_, _ = writer.Write(mustJSON(reply))
			return
		}
		select {
		case <-next:
		case <-timer.C:
			writer.WriteHeader(http.StatusNotModified)
			return
		case <-request.Context().Done():
			return
		}
	}
}
