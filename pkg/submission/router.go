package submission

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// View is the part of the membership view that the Router uses.
type View interface {
	// Owners returns the owners of a backend server in order of rank.
	Owners(serverID string, now time.Time) []membership.Instance
	// Replicas returns the backend servers of a shard that accept requests.
	Replicas(team, service string, shard int, now time.Time) []membership.BackendServer
	// Instance returns a member of the view, including one that is leaving.
	Instance(id string) (membership.Instance, bool)
	// RecordCall records whether an instance answered a call.
	RecordCall(instanceID string, ok bool, now time.Time)
}

// Control is the part of the control plane that the Router uses.
type Control interface {
	Manifest(team, service string) (*snapshot.Manifest, bool)
	Sender() *peerpb.Sender
	ObserveSender(sender *peerpb.Sender)
}

// Peers provides the twirp clients of other instances.
type Peers interface {
	Peer(to membership.Instance) peerpb.Peer
}

// TicketIssuer is the part of peerpb.Peer that the Router calls.
type TicketIssuer interface {
	IssueTicket(context.Context, *peerpb.IssueTicketRequest) (*peerpb.IssueTicketReply, error)
	Redeem(context.Context, *peerpb.RedeemRequest) (*peerpb.RedeemReply, error)
}

// RouterConfig holds the dependencies of a Router.
type RouterConfig struct {
	Self    membership.Instance
	Local   TicketIssuer // this instance's Issuer, called directly
	View    View
	Control Control
	Peers   Peers
	Now     func() time.Time
	// NotSent reports whether it is certain that a failed call did not reach the
	// other instance. If nil, every failed call may have reached it.
	NotSent func(error) bool
}

// Router requests tickets and forwards submissions to the issuers of their
// tickets. It is safe for concurrent use.
type Router struct {
	config RouterConfig
}

// NewRouter returns a router.
func NewRouter(config RouterConfig) *Router {
	if config.NotSent == nil {
		config.NotSent = func(error) bool { return false }
	}
	return &Router{config: config}
}

func (r *Router) ticketClient(to membership.Instance) TicketIssuer {
	if to.ID == r.config.Self.ID {
		return r.config.Local
	}
	return r.config.Peers.Peer(to)
}

// recordCall records whether another instance answered a call. A call that was
// cancelled on this side says nothing about the other instance and is ignored;
// one that timed out counts as not answered.
func (r *Router) recordCall(ctx context.Context, to membership.Instance, err error) {
	if to.ID == r.config.Self.ID || ctx.Err() == context.Canceled {
		return
	}
	r.config.View.RecordCall(to.ID, err == nil, r.config.Now())
}
