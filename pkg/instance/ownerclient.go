package instance

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/owner"
	"github.com/sycamorelift/sycamorelift/pkg/peer"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// ownerClient reaches the owner role of this instance by a call and that of
// others by messages.
type ownerClient struct {
	selfID string
	local  *owner.Owner
	peers  *peer.Client
}

// Search implements entry.OwnerClient.
func (c *ownerClient) Search(ctx context.Context, to membership.Instance, request *peerpb.SearchRequest, emit owner.Emit) error {
	if to.ID == c.selfID {
		return c.local.Search(ctx, request, emit)
	}
	return c.peers.Search(ctx, to, request, emit)
}
