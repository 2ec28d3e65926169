package telemetry

import (
	"io"
	"log/slog"

	"github.com/rotisserie/eris"
)

// NewLogger returns a logger that writes to w and adds the trace id and the
// request id of the context to each record.
func NewLogger(w io.Writer, options LogOptions) (*slog.Logger, error) {
	level, err := parseLevel(options.Level)
	if err != nil {
		return nil, err
	}
	handler, err := newHandler(w, options.Format, level)
	if err != nil {
		return nil, err
	}
	if options.LimitRate {
		handler = NewRateHandler(handler)
	}
	logger := slog.New(contextHandler{next: handler})
	if options.InstanceID != "" {
		logger = logger.With("instance", options.InstanceID)
	}
	return logger, nil
}

func parseLevel(name string) (slog.Level, error) {
	if name == "" {
		return slog.LevelInfo, nil
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return 0, eris.Wrapf(err, "log level %q", name)
	}
	return level, nil
}

func newHandler(w io.Writer, format LogFormat, level slog.Level) (slog.Handler, error) {
	options := &slog.HandlerOptions{Level: level}
	switch format {
	case LogText, "":
		return slog.NewTextHandler(w, options), nil
	case LogJSON:
		return slog.NewJSONHandler(w, options), nil
	default:
		return nil, eris.Errorf("log format %q is neither text nor json", format)
	}
}
