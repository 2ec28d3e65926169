package instance

import (
	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/controlplane"
)

// controlView adds the typed bundle to the control plane.
type controlView struct {
	*controlplane.Plane
	store *controlplane.Store
}

// Bundle returns the bundle in force.
func (c *controlView) Bundle() (*bundle.Verified, bool) {
	verified, ok := c.store.Bundle().(*bundle.Verified)
	return verified, ok
}
