package standin

// ConfigStats are the counters of a configuration service. Every call counts
// once, a pending watch included.
type ConfigStats struct {
	Calls       int64 `json:"calls"`
	Reads       int64 `json:"reads"`
	Watches     int64 `json:"watches"`
	Limited     int64 `json:"limited"`      // answered 429
	Refused     int64 `json:"refused"`      // not answered during an outage
	Pending     int64 `json:"pending"`      // watches that wait now
	BytesSent   int64 `json:"bytes_sent"`   // of values
	PeakPerSec  int64 `json:"peak_per_sec"` // most calls within one second
	Connections int64 `json:"connections"`  // accepted since start
}
