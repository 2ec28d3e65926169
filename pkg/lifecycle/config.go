package lifecycle

import (
	"net/http"
	"time"
)

const (
	// ticketPollInterval is how often a drain checks for live tickets. Tickets end by
	// expiry as well as by redemption, and nothing signals an expiry.
	ticketPollInterval = 20 * time.Millisecond
)

// Config holds the time limits and callbacks of a Lifecycle.
type Config struct {
	// LoadBalancerDelay is how long an instance that drains serves requests in any
	// case, so that the load balancer can notice that readiness fails.
	LoadBalancerDelay time.Duration
	// DrainTimeout bounds the wait for requests and tickets after
	// LoadBalancerDelay.
	DrainTimeout time.Duration
	// AcceptTimeout is how long after the begin of the drain new requests of callers
	// are served. Later ones are refused at once, so that all requests that are
	// served have the rest of the drain to complete. 0 means until the drain ends.
	AcceptTimeout time.Duration
	// OnRefusing is called once when AcceptTimeout has passed, for example to close
	// idle connections of callers. It may be nil.
	OnRefusing func()
	// Refuse answers the requests that are refused. If it is nil, they get the reply
	// of the caller API.
	Refuse http.Handler
	// LiveTickets returns the number of tickets that may still be redeemed at this
	// instance. It must not call the Lifecycle. It may be nil.
	LiveTickets func() int
	// OnDraining is called once when the drain begins, after readiness fails and
	// before LoadBalancerDelay, for example to stop issuing tickets and to notify
	// other instances. It may be nil.
	OnDraining func()
}
