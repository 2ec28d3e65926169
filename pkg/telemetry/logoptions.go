package telemetry

// LogFormat is the encoding of log records.
type LogFormat string

// Log formats. The empty format is LogText.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// LogOptions selects the encoding, the minimum level and the rate limit of log records.
type LogOptions struct {
	Format LogFormat
	Level  string // debug, info, warn or error; empty is info
	// InstanceID is added to every record when it is not empty.
	InstanceID string
	// LimitRate limits the rate of records with the same message, see NewRateHandler.
	LimitRate bool
}
