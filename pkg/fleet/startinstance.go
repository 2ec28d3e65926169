package fleet

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/entry"
	"github.com/sycamorelift/sycamorelift/pkg/instance"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
)

const (
	// loadBalancerDelay exceeds the balancer's lag.
	loadBalancerDelay = 2 * balancerLag
	bootstrapTimeout  = 10 * time.Second
)

// StartInstance starts an instance of this build. Its logs are discarded.
func StartInstance(ctx context.Context, spec InstanceSpec) (Instance, error) {
	s := settings.Default()
	s.Instance = settings.Instance{ID: spec.ID, Zone: spec.Zone, Region: spec.Region}
	s.Listen = settings.Listen{Caller: spec.CallerAddress, Peer: spec.PeerAddress, Operator: spec.OperatorAddress}
	s.ConfigService.URL = spec.ConfigURL
	s.Trust = spec.Trust
	s.Shutdown.LoadBalancerDelay = loadBalancerDelay
	s.BootstrapTimeout = bootstrapTimeout
	s.Log.Level = slog.LevelError
	started, err := instance.New(ctx, &s, instance.Options{
		Entry:            entry.Options(spec.Options),
		DirectInstances:  spec.Instances,
		LogOutput:        io.Discard,
		CallerListener:   spec.Listeners.Caller,
		PeerListener:     spec.Listeners.Peer,
		OperatorListener: spec.Listeners.Operator,
	})
	if err != nil {
		return nil, err
	}
	if err := started.Start(ctx); err != nil {
		return nil, err
	}
	return started, nil
}
