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
	DefaultDialTimeout   = time.Second
	DefaultIdleTimeout   = 30 * time.Second
	DefaultMaxDials      = 4
	DefaultMaxReplyBytes = 4 << 20
)

// Options configure a Pool. Zero values take the defaults.
type Options struct {
	Connections     int           // open connections at once; 0 allows none
	DialTimeout     time.Duration // TCP connect and TLS handshake
	ProgressTimeout time.Duration // longest silence of a search; 0 is only bounded by the call's deadline
	IdleTimeout     time.Duration // idle connections are closed after this; keep it below the server's
	MaxDials        int           // dials at once, so that a mass of broken connections causes no reconnect storm
	MaxReplyBytes   int64         // header and body of one reply
	TLS             *tls.Config   // nil is cleartext
	Zone            string        // this instance's zone, sent as Sycamorelift-Zone
	Logger          *slog.Logger
	Tracer          trace.Tracer // of the span of each call; nil records none
}

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxDials <= 0 {
		o.MaxDials = DefaultMaxDials
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
