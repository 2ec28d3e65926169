package fleet

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
)

// Instance is one running instance of the system.
type Instance interface {
	// Ready reports whether the instance accepts callers.
	Ready() bool
	// Shutdown stops the instance without interrupting requests.
	Shutdown(ctx context.Context) error
	// Kill stops the instance at once.
	Kill()
}

// InstanceSpec is what an instance is started with.
type InstanceSpec struct {
	ID              string
	Zone            string
	Region          string
	CallerAddress   string // IP:port
	PeerAddress     string
	OperatorAddress string
	Listeners       Listeners // on these addresses
	ConfigURL       string    // of the configuration service
	Trust           bundle.Trust
	Options         Options
	Instances       int // of the fleet
}

// Starter starts an instance. It need not wait until the instance is ready.
type Starter func(ctx context.Context, spec InstanceSpec) (Instance, error)
