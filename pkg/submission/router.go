package submission

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// View is what the Router needs of the membership view.
type View interface {
	// Owners returns the owners of a backend server, first rank first.
	Owners(serverID string, now time.Time) []membership.Instance
	// Replicas returns the backend servers of a shard that accept requests.
	Replicas(team, service string, shard int, now time.Time) []membership.BackendServer
	// Instance returns a member, also one that is leaving.
	Instance(id string) (membership.Instance, bool)
	// RecordCall records whether an instance answered.
	RecordCall(instanceID string, ok bool, now time.Time)
}

// Control is what the Router needs of the control plane.
type Control interface {
	Manifest(team, service string) (*snapshot.Manifest, bool)
	Sender() *peerpb.Sender
	ObserveSender(sender *peerpb.Sender)
}

// Peers gives the twirp client of an instance.
type Peers interface {
	Peer(to membership.Instance) peerpb.Peer
}

// Tickets is the part of peerpb.Peer that the Router calls.
type Tickets interface {
	IssueTicket(context.Context, *peerpb.IssueTicketRequest) (*peerpb.IssueTicketReply, error)
	Redeem(context.Context, *peerpb.RedeemRequest) (*peerpb.RedeemReply, error)
}

// RouterConfig holds the parts that a Router uses.
type RouterConfig struct {
	Self    membership.Instance
	Local   Tickets // this instance's own Issuer, called without a message
	View    View
	Control Control
	Peers   Peers
	Now     func() time.Time
	// NotSent reports whether a failed call certainly did not reach the other
	// instance. Without it every failure counts as maybe sent.
	NotSent func(error) bool
}

// Router is the entry side of submissions. It is safe for concurrent use.
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

func (r *Router) tickets(to membership.Instance) Tickets {
	if to.ID == r.config.Self.ID {
		return r.config.Local
	}
	return r.config.Peers.Peer(to)
}

// report records the result of a call to another instance. A call that this
// side gave up says nothing about the other instance unless its time was over.
func (r *Router) report(ctx context.Context, to membership.Instance, err error) {
	if to.ID == r.config.Self.ID || ctx.Err() == context.Canceled {
		return
	}
	r.config.View.RecordCall(to.ID, err == nil, r.config.Now())
}
