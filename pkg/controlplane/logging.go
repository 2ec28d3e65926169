package controlplane

import "log/slog"

// orDiscard returns log, or a logger that writes nothing when log is nil.
func orDiscard(log *slog.Logger) *slog.Logger {
	if log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return log
}
