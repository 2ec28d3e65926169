package fleet

import "github.com/sycamorelift/sycamorelift/pkg/standin"

// A scarce deployment has one slot per backend server and requests that take
// twice as long. Longer ones would come near the time after which an instance
// takes a connection for unresponsive.
const (
	scarceSlots    = 1
	scarceSlowdown = 2
)

// Scarce returns the deployment with less capacity, so that a load that one
// process can send is an overload.
func Scarce(spec standin.DeploymentSpec) standin.DeploymentSpec {
	services := append([]standin.ServiceSpec(nil), spec.Services...)
	for i := range services {
		services[i].Slots = scarceSlots
		services[i].Time.Median *= scarceSlowdown
	}
	spec.Services = services
	return spec
}
