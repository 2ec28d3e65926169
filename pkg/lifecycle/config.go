package lifecycle

import "time"

const (
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
}
