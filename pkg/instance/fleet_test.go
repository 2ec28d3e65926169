package instance_test

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/instance"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// fleetOptions selects a small fleet whose telemetry the test reads.
type fleetOptions struct {
	spec      standin.DeploymentSpec
	instances int
	traces    trace.TracerProvider
}

// startFleet starts a fleet that ends with the test and returns what its
// instances were started with, in the order of their ids.
func startFleet(t *testing.T, options fleetOptions) []fleet.InstanceSpec {
	t.Helper()
	var mu sync.Mutex
	var started []fleet.InstanceSpec
	f, err := fleet.Start(t.Context(), fleet.Config{
		Spec: options.spec, Seed: 1, Instances: options.instances,
		Start: func(ctx context.Context, spec fleet.InstanceSpec) (fleet.Instance, error) {
			mu.Lock()
			started = append(started, spec)
			mu.Unlock()
			return startInstance(ctx, spec, options)
		},
	})
	assert.NilError(t, err)
	t.Cleanup(f.Stop)
	slices.SortFunc(started, func(a, b fleet.InstanceSpec) int { return strings.Compare(a.ID, b.ID) })
	return started
}

func startInstance(ctx context.Context, spec fleet.InstanceSpec, options fleetOptions) (fleet.Instance, error) {
	s := settings.Default()
	s.Instance = settings.Instance{ID: spec.ID, Zone: spec.Zone, Region: spec.Region}
	s.Listen = settings.Listen{Caller: spec.CallerAddress, Peer: spec.PeerAddress, Operator: spec.OperatorAddress}
	s.ConfigService.URL = spec.ConfigURL
	s.Trust = spec.Trust
	s.Shutdown.LoadBalancerDelay = time.Millisecond
	s.BootstrapTimeout = 10 * time.Second
	s.Log.Level = slog.LevelError
	built, err := instance.New(ctx, &s, instance.Options{
		TracerProvider: options.traces,
		LogOutput:      io.Discard,
		CallerListener: spec.Listeners.Caller, PeerListener: spec.Listeners.Peer, OperatorListener: spec.Listeners.Operator,
	})
	if err != nil {
		return nil, err
	}
	return built, built.Start(ctx)
}
