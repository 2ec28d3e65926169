package oracle

import (
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Data is the content of one service.
type Data interface {
	// All returns the documents of a snapshot.
	All(version int64) []standin.Document
	// Snapshot returns the partitions of a snapshot.
	Snapshot(version int64) snapshot.Snapshot
}
