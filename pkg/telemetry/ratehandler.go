package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// kindRate and kindBurst bound the records of one message text. A busy
	// instance answers some ten requests a second; failures of a whole crowd
	// exceed the bound.
	kindRate  = 100.0 // records per second
	kindBurst = 300.0 // records
	// dropReport is the interval at which suppressed records are reported.
	dropReport = 5 * time.Second
)

// rateHandler bounds the records of each message, so that a flood of one kind
// does not push out the others. It reports how many it has left out.
type rateHandler struct {
	next  slog.Handler
	state *rateState
}

type rateState struct {
	mu    sync.Mutex
	kinds map[string]*rateKind
}

type rateKind struct {
	tokens     float64
	at         time.Time
	suppressed int64
	reported   time.Time
}

// NewRateHandler returns a handler that passes a bounded number of records of
// each message on to next.
func NewRateHandler(next slog.Handler) slog.Handler {
	return rateHandler{next: next, state: &rateState{kinds: make(map[string]*rateKind)}}
}

func (h rateHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

func (h rateHandler) Handle(ctx context.Context, record slog.Record) error {
	pass, suppressed := h.state.take(record.Message, record.Time)
	if !pass {
		return nil
	}
	if suppressed > 0 {
		record.AddAttrs(slog.Int64("suppressed_before", suppressed))
	}
	return h.next.Handle(ctx, record)
}

func (h rateHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateHandler{next: h.next.WithAttrs(attrs), state: h.state}
}

func (h rateHandler) WithGroup(name string) slog.Handler {
	return rateHandler{next: h.next.WithGroup(name), state: h.state}
}

// take reports whether a record passes and how many of its message were left out
// since the last one that said so.
func (s *rateState) take(message string, now time.Time) (pass bool, suppressed int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := s.kinds[message]
	if kind == nil {
		kind = &rateKind{tokens: kindBurst, at: now}
		s.kinds[message] = kind
	}
	if passed := now.Sub(kind.at).Seconds(); passed > 0 {
		kind.tokens = min(kind.tokens+passed*kindRate, kindBurst)
		kind.at = now
	}
	if kind.tokens < 1 {
		kind.suppressed++
		return false, 0
	}
	kind.tokens--
	if kind.suppressed > 0 && now.Sub(kind.reported) >= dropReport {
		suppressed, kind.suppressed = kind.suppressed, 0
		kind.reported = now
	}
	return true, suppressed
}
