package gateway

import (
	"context"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// Tables is where the gateway gets the table in force.
type Tables interface {
	// Table returns the newest table that this instance knows, or nil.
	Table() *routing.Table
	// Confirm makes sure that the table is the published one of this moment. It
	// returns false when that cannot be found out in time.
	Confirm(ctx context.Context) (*routing.Table, bool)
}
