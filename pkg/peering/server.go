package peering

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
)

// Gatherer gathers parts from the backend servers near this instance. It calls emit for
// each result and reports whether it sent the final one.
type Gatherer interface {
	Gather(ctx context.Context, call *forward.PartsCall, emit func(*forward.PartsResult)) bool
}

// Server handles the messages of other instances.
type Server struct {
	exchanger *Exchanger
	feed      StoreView
	gatherer  Gatherer
	logger    *slog.Logger
	mux       *http.ServeMux
}

// NewServer returns the handler of the peer listener.
func NewServer(exchanger *Exchanger, feed StoreView, gatherer Gatherer, logger *slog.Logger) *Server {
	s := &Server{exchanger: exchanger, feed: feed, gatherer: gatherer, logger: logger, mux: http.NewServeMux()}
	twirp := peeringpb.NewPeeringServer(s)
	s.mux.Handle(twirp.PathPrefix(), http.MaxBytesHandler(twirp, maxMessageBytes))
	s.mux.HandleFunc("POST "+partsPath, s.handleParts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Exchange implements peeringpb.Peering.
func (s *Server) Exchange(_ context.Context, m *peeringpb.ExchangeMessage) (*peeringpb.ExchangeMessage, error) {
	return s.exchanger.Answer(m), nil
}

// Watch implements peeringpb.Peering.
func (s *Server) Watch(ctx context.Context, m *peeringpb.WatchRequest) (*peeringpb.WatchReply, error) {
	return serveWatch(ctx, s.feed, m)
}

// ConfirmTable implements peeringpb.Peering.
func (s *Server) ConfirmTable(ctx context.Context, m *peeringpb.ConfirmTableRequest) (*peeringpb.ConfirmTableReply, error) {
	return serveConfirmTable(ctx, s.feed, m), nil
}

// handleParts answers a call for parts. It sends the header at once, so that the caller
// knows within a round trip that this instance works on the call.
func (s *Server) handleParts(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if err != nil {
		http.Error(w, "request for parts not read", http.StatusBadRequest)
		return
	}
	m := &peeringpb.PartsRequest{}
	if err := proto.Unmarshal(data, m); err != nil {
		http.Error(w, "malformed request for parts", http.StatusBadRequest)
		return
	}
	header := w.Header()
	header["Content-Type"] = nil
	header["Date"] = nil
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		s.logger.Debug("request for parts not accepted", "request_id", string(m.GetRequestId()), "error", err)
		return
	}
	var last *forward.PartsResult
	complete := s.gatherer.Gather(r.Context(), partsCall(m, received), func(result *forward.PartsResult) {
		last = result
		if err == nil {
			err = s.writeFrame(w, result)
		}
	})
	switch {
	case err != nil:
		s.logger.Info("parts not delivered", "request_id", string(m.GetRequestId()), "error", err)
	case !complete:
		s.logger.Info("parts no longer wanted", "request_id", string(m.GetRequestId()), "shards", len(m.GetServices()))
	default:
		s.logMissingParts(m, last, time.Since(received))
	}
}

// writeFrame flushes each frame but the final one, so that parts do not wait for later
// parts. The final frame is flushed when the handler returns.
func (s *Server) writeFrame(w http.ResponseWriter, result *forward.PartsResult) error {
	if _, err := protodelim.MarshalTo(w, partsReply(result)); err != nil {
		return err
	}
	if result.Final {
		return nil
	}
	return http.NewResponseController(w).Flush()
}

// logMissingParts logs the shards of a call whose parts are missing. A call with all
// parts is logged only by the instance that received the caller's request.
func (s *Server) logMissingParts(m *peeringpb.PartsRequest, result *forward.PartsResult, took time.Duration) {
	if len(result.Lost) == 0 {
		return
	}
	missing := make([]string, 0, len(result.Lost))
	for _, l := range result.Lost {
		missing = append(missing, m.GetServices()[l.Index]+": "+l.Event)
	}
	s.logger.Info("parts incomplete", "request_id", string(m.GetRequestId()), "shards", len(m.GetServices()), "missing", missing,
		"attempts", result.Attempts, "hedges", result.Hedges, "troubles", result.Events, "took_ms", took.Milliseconds())
}
