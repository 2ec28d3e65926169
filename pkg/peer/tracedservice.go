package peer

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// tracedService adds a server span to the twirp calls that belong to a caller's
// request. Exchange and FetchDocument have no spans because instances make these
// calls all the time, independently of requests.
type tracedService struct {
	peerpb.Peer
	tracer trace.Tracer
}

// IssueTicket implements peerpb.Peer.
func (s *tracedService) IssueTicket(ctx context.Context, request *peerpb.IssueTicketRequest) (*peerpb.IssueTicketReply, error) {
	ctx, span := s.tracer.Start(ctx, "owner.ticket", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	reply, err := s.Peer.IssueTicket(ctx, request)
	if err != nil {
		span.RecordError(err)
	}
	return reply, err
}

// Redeem implements peerpb.Peer.
func (s *tracedService) Redeem(ctx context.Context, request *peerpb.RedeemRequest) (*peerpb.RedeemReply, error) {
	ctx, span := s.tracer.Start(ctx, "owner.submit", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request_id", request.RequestId)))
	defer span.End()
	reply, err := s.Peer.Redeem(ctx, request)
	if err != nil {
		span.RecordError(err)
	}
	return reply, err
}
