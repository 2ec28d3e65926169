package relay

import (
	"log/slog"

	"github.com/sycamorelift/sycamorelift/pkg/feed"
	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/gateway"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
)

// Codec is the protocol of callers and backend servers.
type Codec interface {
	forward.Codec
	gateway.Codec
}

// Options holds what an instance is built from. All fields are required.
type Options struct {
	Settings *settings.Relay
	Store    feed.Store
	Decoder  feed.Decoder
	Codec    Codec
	Logger   *slog.Logger
	// DroppedLogs returns the number of log records that were not written.
	DroppedLogs func() int64
}
