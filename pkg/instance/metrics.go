package instance

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
)

// metrics publishes the measurements of the roles.
type metrics struct {
	registry *telemetry.Registry
}

// Count implements entry.Metrics.
func (m *metrics) Count(name string, n int64) { m.registry.Counter(name).Add(n) }

// Observe implements entry.Metrics.
func (m *metrics) Observe(name string, d time.Duration) { m.registry.Histogram(name).Record(d) }
