package settings

import (
	"log/slog"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// LogFormat is the form of log records.
type LogFormat string

// Log formats.
const (
	LogJSON LogFormat = "json"
	LogText LogFormat = "text"
)

// Log tells how records are logged to stderr.
type Log struct {
	Format LogFormat
	Level  slog.Level
}

func defaultLog() Log {
	return Log{Format: LogJSON, Level: slog.LevelInfo}
}

func (l *Log) read(v yamldoc.Value) {
	o := v.Object()
	yamldoc.OneOf(o.Optional("format"), &l.Format, LogJSON, LogText)
	var level string
	yamldoc.OneOf(o.Optional("level"), &level, "debug", "info", "warn", "error")
	if level != "" {
		// The names above are all names that slog knows.
		_ = l.Level.UnmarshalText([]byte(level))
	}
	o.Close()
}
