package coverage

import (
	"fmt"

	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// MismatchError reports a reply whose partition differs from the manifest.
type MismatchError struct {
	Want, Got snapshot.Partition
}

// Error describes both partitions.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("reply covers %+v, manifest states %+v", e.Got, e.Want)
}
