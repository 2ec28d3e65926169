package settings

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Shutdown holds the phases of a graceful shutdown.
type Shutdown struct {
	LoadBalancerDelay time.Duration // new requests are served while readiness already fails
	DrainTimeout      time.Duration // after that, for requests in progress and live tickets
}

const (
	defaultLoadBalancerDelay = 5 * time.Second
	defaultDrainTimeout      = 45 * time.Second
	// A ticket may be redeemed for 30 s after issue, and only at its issuer.
	shortestDrainTimeout = 30 * time.Second
	longestDrainTimeout  = 10 * time.Minute
)

func defaultShutdown() Shutdown {
	return Shutdown{LoadBalancerDelay: defaultLoadBalancerDelay, DrainTimeout: defaultDrainTimeout}
}

func (s *Shutdown) read(v yamldoc.Value) {
	o := v.Object()
	o.Optional("load_balancer_delay").Duration(&s.LoadBalancerDelay, durations(0, longestTimeout))
	o.Optional("drain_timeout").Duration(&s.DrainTimeout, durations(shortestDrainTimeout, longestDrainTimeout))
	o.Close()
}
