package lifecycle

import (
	"net/http"
	"time"
)

const (
	// DefaultLoadBalancerDelay is how long the platform's load balancer may
	// send new requests after readiness has failed.
	DefaultLoadBalancerDelay = 5 * time.Second
	// DefaultDrainTimeout exceeds the redeem window of a ticket (30 s), so that
	// every ticket is used or expired before it ends.
	DefaultDrainTimeout = 35 * time.Second
	// pollInterval is how often a drain looks for live tickets, which end by
	// the passing of time as well as by redemptions.
	pollInterval = 20 * time.Millisecond
)

// Config holds the bounds and hooks of a Lifecycle.
type Config struct {
	LoadBalancerDelay time.Duration
	// DrainTimeout bounds the wait after LoadBalancerDelay.
	DrainTimeout time.Duration
	// Live returns the number of tickets that may still be redeemed here. It
	// must not call the Lifecycle. It may be nil.
	Live func() int
	// OnDraining runs once, when readiness has failed and before the delay, for
	// example to stop issuing tickets and to tell other instances. It may be nil.
	OnDraining func()
	// Refuse answers requests in the state Closed as not run. Without it they
	// get status 503.
	Refuse http.Handler
}
