package entry

import "time"

// Metrics receives the measurements of the entry role.
type Metrics interface {
	// Count adds n to a counter. Name is dot-separated, for example
	// searches.complete.
	Count(name string, n int64)
	// Observe adds a duration to a histogram.
	Observe(name string, d time.Duration)
}
