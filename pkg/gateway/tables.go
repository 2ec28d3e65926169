package gateway

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// Tables provides the routing table.
type Tables interface {
	// Table returns the newest table that this instance knows, or nil if it has none.
	Table() *routing.Table
	// Confirm returns the newest known table and whether it is confirmed to be the
	// published one. It asks the source of the table unless the last confirmation is
	// recent, and returns false if no confirmation arrives in time.
	Confirm(ctx context.Context) (*routing.Table, bool)
}
