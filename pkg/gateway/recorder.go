package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
)

// Recorder writes one log line for each request and counts it in the metrics.
type Recorder struct {
	logger   *slog.Logger
	registry *telemetry.Registry
	// viewAge returns how long ago the table was last confirmed.
	viewAge func() time.Duration
	stages  *stageMetrics
}

// NewRecorder returns a recorder; viewAge returns how long ago the table was last
// confirmed.
func NewRecorder(logger *slog.Logger, registry *telemetry.Registry, viewAge func() time.Duration) *Recorder {
	return &Recorder{logger: logger, registry: registry, viewAge: viewAge, stages: newStageMetrics(registry)}
}

func (r *Recorder) record(_ context.Context, e *exchange) {
	outcome := e.outcome()
	r.count(e, outcome)
	message := "request answered"
	level := slog.LevelInfo
	if e.Answer.Refusal != nil {
		message, level = "request ended without an answer", slog.LevelWarn
	}
	r.logger.LogAttrs(context.Background(), level, message, r.attributes(e, outcome)...)
}

func (r *Recorder) attributes(e *exchange, outcome string) []slog.Attr {
	t := &e.Answer.Trace
	attrs := []slog.Attr{
		slog.String("request_id", e.ID),
		slog.String("outcome", outcome),
		slog.Int("status", e.Status),
		slog.Float64("took_ms", milliseconds(e.Took)),
		slog.Float64("view_age_ms", milliseconds(r.viewAge())),
	}
	if e.Table != nil {
		attrs = append(attrs, slog.Int64("table_version", e.Table.Version()))
	}
	if e.Route != nil {
		attrs = append(attrs, slog.String("route", e.Route.Name))
	} else {
		attrs = append(attrs, slog.String("path", e.Path))
	}
	if refusal := e.Answer.Refusal; refusal != nil {
		attrs = append(attrs,
			slog.String("reason", string(refusal.Reason)),
			slog.Bool("not_run", refusal.NotRun),
			slog.Float64("retry_after_ms", milliseconds(refusal.RetryAfter)),
			slog.Float64("patience_ms", milliseconds(e.CallerTimeout)))
		if refusal.Detail != "" {
			attrs = append(attrs, slog.String("detail", refusal.Detail))
		}
	}
	if t.Attempts > 0 {
		attrs = append(attrs, slog.Int("attempts", t.Attempts))
	}
	if t.Service != "" {
		attrs = append(attrs, slog.String("service", t.Service))
	}
	if t.Shards > 0 {
		attrs = append(attrs, slog.Int("shards", t.Shards), slog.Int("parts", t.Parts))
		if len(t.Missing) > 0 {
			attrs = append(attrs, slog.Any("missing", t.Missing))
		}
	}
	if t.Relayed > 0 {
		attrs = append(attrs, slog.Int("relayed", t.Relayed))
	}
	if t.Hedges+t.Retries+t.Denied > 0 {
		attrs = append(attrs, slog.Int("hedges", t.Hedges), slog.Int("retries", t.Retries), slog.Int("denied", t.Denied))
	}
	if t.LeftOut > 0 {
		attrs = append(attrs, slog.Int("left_out", t.LeftOut))
	}
	attrs = append(attrs, stageAttr(&t.Stages))
	if len(t.Events) > 0 {
		attrs = append(attrs, slog.Any("troubles", t.Events))
	}
	if t.DroppedEvents > 0 {
		attrs = append(attrs, slog.Int("troubles_dropped", t.DroppedEvents))
	}
	return attrs
}

// count updates the metrics of a request. It distinguishes routes only by kind, since
// a metric for each route name would grow without bound as operators add routes.
func (r *Recorder) count(e *exchange, outcome string) {
	kind := "none"
	if e.Route != nil {
		kind = "single"
		if e.Route.Sharded() {
			kind = "sharded"
		}
	}
	r.registry.Counter("requests_" + kind + "_" + outcome + "_total").Add(1)
	if refusal := e.Answer.Refusal; refusal != nil {
		r.registry.Counter("refusals_" + string(refusal.Reason) + "_total").Add(1)
	}
	r.registry.Histogram("request_duration_" + kind).Record(e.Took)
	t := &e.Answer.Trace
	r.stages.record(&t.Stages)
	r.registry.Counter("attempts_total").Add(int64(t.Attempts))
	r.registry.Counter("hedges_total").Add(int64(t.Hedges))
	r.registry.Counter("retries_total").Add(int64(t.Retries))
	r.registry.Counter("left_out_total").Add(int64(t.LeftOut))
	r.registry.Counter("extra_attempts_denied_total").Add(int64(t.Denied))
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
