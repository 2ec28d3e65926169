package instance

import (
	"io"
	"net"

	"github.com/sycamorelift/sycamorelift/pkg/entry"
	"go.opentelemetry.io/otel/trace"
)

// Options are inputs that do not come from settings. The zero value is the
// daemon; tests and the experiment command set others.
type Options struct {
	Entry entry.Options
	// DirectInstances is the number of instances that share each backend
	// server when Entry.DirectFanOut is set.
	DirectInstances int
	// Seed of the random choices; 0 takes a random one.
	Seed uint64
	// LogOutput is standard error when nil.
	LogOutput io.Writer
	// TracerProvider replaces that of the settings when it is not nil.
	TracerProvider trace.TracerProvider
	// Listeners replace those of the settings when they are not nil.
	CallerListener, PeerListener, OperatorListener net.Listener
}
