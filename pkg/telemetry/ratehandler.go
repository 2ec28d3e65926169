package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// messageRate and messageBurst limit the records with the same message. A busy
	// instance answers about ten requests per second; failures that affect many
	// callers at once exceed the limit.
	messageRate  = 100.0 // records per second
	messageBurst = 300.0 // records
	// suppressionReportInterval is the minimum time between two reports of the
	// suppressed records of a message.
	suppressionReportInterval = 5 * time.Second
)

// rateHandler limits the rate of records with the same message, so that a frequent
// message does not displace others. The attribute suppressed_before of a later record
// with that message tells how many were suppressed.
type rateHandler struct {
	next    slog.Handler
	limiter *messageLimiter
}

// messageLimiter holds the token bucket of each message. All handlers derived from one
// rateHandler share it.
type messageLimiter struct {
	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket limits the records of one message and counts the suppressed ones.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
	suppressed int64 // since the last report
	reportedAt time.Time
}

// NewRateHandler returns a handler that passes records on to next and limits the rate
// of records with the same message.
func NewRateHandler(next slog.Handler) slog.Handler {
	return rateHandler{next: next, limiter: &messageLimiter{buckets: make(map[string]*tokenBucket)}}
}

func (h rateHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

func (h rateHandler) Handle(ctx context.Context, record slog.Record) error {
	allowed, suppressed := h.limiter.allow(record.Message, record.Time)
	if !allowed {
		return nil
	}
	if suppressed > 0 {
		record.AddAttrs(slog.Int64("suppressed_before", suppressed))
	}
	return h.next.Handle(ctx, record)
}

func (h rateHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateHandler{next: h.next.WithAttrs(attrs), limiter: h.limiter}
}

func (h rateHandler) WithGroup(name string) slog.Handler {
	return rateHandler{next: h.next.WithGroup(name), limiter: h.limiter}
}

// allow reports whether a record may be logged and, when a report is due, how many
// records with the same message were suppressed since the previous report.
func (l *messageLimiter) allow(message string, now time.Time) (allowed bool, suppressed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket := l.buckets[message]
	if bucket == nil {
		bucket = &tokenBucket{tokens: messageBurst, refilledAt: now}
		l.buckets[message] = bucket
	}
	if elapsed := now.Sub(bucket.refilledAt).Seconds(); elapsed > 0 {
		bucket.tokens = min(bucket.tokens+elapsed*messageRate, messageBurst)
		bucket.refilledAt = now
	}
	if bucket.tokens < 1 {
		bucket.suppressed++
		return false, 0
	}
	bucket.tokens--
	if bucket.suppressed > 0 && now.Sub(bucket.reportedAt) >= suppressionReportInterval {
		suppressed, bucket.suppressed = bucket.suppressed, 0
		bucket.reportedAt = now
	}
	return true, suppressed
}
