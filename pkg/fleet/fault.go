package fleet

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"
)

// Fault is a failure of the platform or of instances that is switched on while
// requests run.
type Fault struct {
	Name        string
	Description string
	// Poison makes a part of the requests crash backend servers.
	Poison bool
	// Scarce makes the fault run on a deployment of less capacity, so that one
	// process can overload it.
	Scarce bool
	// Apply switches the fault on. It may return before the fault has run its
	// course; what it starts ends with the context.
	Apply func(ctx context.Context, f *Fleet) error
}

// FaultByName returns the fault of a name.
func FaultByName(name string) (Fault, error) {
	for _, fault := range faults {
		if fault.Name == name {
			return fault, nil
		}
	}
	return Fault{}, eris.Errorf("no fault is named %q; known are %v", name, FaultNames())
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	names := make([]string, 0, len(faults))
	for _, fault := range faults {
		names = append(names, fault.Name)
	}
	return slices.Clip(names)
}
