package entry

import (
	"context"
	"log/slog"
)

// logRefusal writes the record by which an operator traces a refusal from its
// request id to the signed rule or the shortage. Refusals of faulty requests are
// logged at debug level, since they need no action by the operator.
func (e *Entry) logRefusal(ctx context.Context, c call, applied *appliedPolicy, refusal *Refusal) {
	level := slog.LevelInfo
	if refusal.Reason.Kind == ReasonInvalid {
		level = slog.LevelDebug
	}
	if !e.config.Logger.Enabled(ctx, level) {
		return
	}
	reason := refusal.Reason
	version := reason.BundleVersion
	if version == 0 {
		version = applied.policy.BundleVersion
	}
	attributes := []slog.Attr{
		slog.String("team", c.team),
		slog.String("service", c.service),
		slog.String("caller", applied.policy.Caller),
		slog.String("class", applied.policy.Class),
		slog.String("run", string(refusal.Run)),
		slog.String("kind", string(reason.Kind)),
		slog.String("rule", reason.Rule),
		slog.String("shortage", string(reason.Shortage)),
		slog.Int64("bundle_version", version),
		slog.String("signer", reason.Signer),
		slog.String("detail", reason.Detail),
		slog.Int("status", refusal.Status),
	}
	if refusal.cause != nil {
		attributes = append(attributes, slog.Any("cause", refusal.cause))
	}
	e.config.Logger.LogAttrs(ctx, level, "request refused", attributes...)
}
