package peer

import (
	"bufio"
	"context"
	"io"
	"net/http"

	"github.com/sycamorelift/sycamorelift/pkg/owner"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxRequestBytes limits the body of a search or twirp request.
const maxRequestBytes = 4 << 20

// Searcher runs searches for other instances.
type Searcher interface {
	Search(ctx context.Context, request *peerpb.SearchRequest, emit owner.Emit) error
}

// SenderObserver is told the sender of each search request, and thereby learns
// the state that other instances report about themselves. The twirp service has
// to observe the senders of its requests itself.
type SenderObserver interface {
	ObserveSender(sender *peerpb.Sender)
}

// Server handles the requests of other instances.
type Server struct {
	searcher Searcher
	observer SenderObserver
	tracer   trace.Tracer
	mux      *http.ServeMux
}

// NewServer returns a handler for the twirp service and the search stream.
func NewServer(service peerpb.Peer, searcher Searcher, observer SenderObserver, tracer trace.Tracer) *Server {
	s := &Server{searcher: searcher, observer: observer, tracer: tracer, mux: http.NewServeMux()}
	twirp := peerpb.NewPeerServer(&tracedService{Peer: newCompressingPeer(service), tracer: tracer})
	s.mux.Handle(twirp.PathPrefix(), http.MaxBytesHandler(twirp, maxRequestBytes))
	s.mux.HandleFunc("POST "+searchPath, s.handleSearch)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	s.mux.ServeHTTP(w, r.WithContext(ctx))
}

func (s *Server) handleSearch(w http.ResponseWriter, r *http.Request) {
	request, err := readSearchRequest(w, r)
	if err != nil {
		http.Error(w, "malformed search message: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.observer.ObserveSender(request.Sender)
	ctx, span := s.tracer.Start(r.Context(), "owner.search", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request_id", request.RequestId), attribute.Int("attempts", len(request.Attempts))))
	defer span.End()
	w.Header().Set("Content-Type", "application/protobuf")
	frames := &frameWriter{buffer: bufio.NewWriter(w), flusher: http.NewResponseController(w)}
	if err := s.searcher.Search(ctx, request, frames.write); err != nil {
		span.RecordError(err)
	}
}

func readSearchRequest(w http.ResponseWriter, r *http.Request) (*peerpb.SearchRequest, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return nil, err
	}
	request := &peerpb.SearchRequest{}
	return request, proto.Unmarshal(body, request)
}

// frameWriter writes frames and flushes after each one, so that a result reaches
// the entry instance without waiting for those of slower shards.
type frameWriter struct {
	buffer  *bufio.Writer
	flusher *http.ResponseController
}

func (f *frameWriter) write(frame *peerpb.SearchFrame) error {
	if _, err := protodelim.MarshalTo(f.buffer, frame); err != nil {
		return err
	}
	if err := f.buffer.Flush(); err != nil {
		return err
	}
	return f.flusher.Flush()
}
