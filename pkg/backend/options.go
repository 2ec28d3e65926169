package backend

import (
	"crypto/tls"
	"log/slog"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Defaults of Options.
const (
	DefaultDialTimeout        = time.Second
	DefaultIdleTimeout        = 30 * time.Second
	DefaultMaxConcurrentDials = 4
	DefaultMaxReplyBytes      = 4 << 20
)

// Options configure a Pool. Zero values are replaced by the defaults, where there
// is one.
type Options struct {
	MaxConnections     int           // limit on open connections; 0 allows none
	DialTimeout        time.Duration // TCP connect and TLS handshake
	ProgressTimeout    time.Duration // longest time without progress in a search; 0: only the call's deadline applies
	IdleTimeout        time.Duration // idle connections are closed after this time; must be below the server's idle timeout
	MaxConcurrentDials int           // limit on concurrent dials, which prevents a reconnect storm after many connections break
	MaxReplyBytes      int64         // size limit of one reply, header and body
	TLS                *tls.Config   // nil: cleartext
	Zone               string        // this instance's availability zone, sent as Sycamorelift-Zone
	Logger             *slog.Logger
	Tracer             trace.Tracer // records a span for each call; nil: none
}

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxConcurrentDials <= 0 {
		o.MaxConcurrentDials = DefaultMaxConcurrentDials
	}
	if o.MaxReplyBytes <= 0 {
		o.MaxReplyBytes = DefaultMaxReplyBytes
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("")
	}
	return o
}
