package instance

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/controlplane"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/submission"
)

// peerService is the twirp service of an instance: documents come from the
// control plane, tickets from the issuer.
type peerService struct {
	plane  *controlplane.Plane
	issuer *submission.Issuer
}

// Exchange compares document versions and notices.
func (s *peerService) Exchange(ctx context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return s.plane.Exchange(ctx, request)
}

// FetchDocument returns one control document.
func (s *peerService) FetchDocument(ctx context.Context, request *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	return s.plane.FetchDocument(ctx, request)
}

// IssueTicket issues a ticket.
func (s *peerService) IssueTicket(ctx context.Context, request *peerpb.IssueTicketRequest) (*peerpb.IssueTicketReply, error) {
	s.plane.ObserveSender(request.Sender)
	return s.issuer.IssueTicket(ctx, request)
}

// Redeem runs the submission of a ticket.
func (s *peerService) Redeem(ctx context.Context, request *peerpb.RedeemRequest) (*peerpb.RedeemReply, error) {
	s.plane.ObserveSender(request.Sender)
	return s.issuer.Redeem(ctx, request)
}
