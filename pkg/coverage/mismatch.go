package coverage

import (
	"fmt"

	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// MismatchError reports that the partition in a reply differs from the manifest.
type MismatchError struct {
	Want, Got snapshot.Partition
}

// Error states both partitions.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("reply covers %+v, manifest states %+v", e.Got, e.Want)
}
