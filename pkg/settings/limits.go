package settings

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Limits bound what one connection of a caller may take.
type Limits struct {
	MaxRequestBytes int64         // body
	MaxHeaderBytes  int           // request line and headers
	ReadTimeout     time.Duration // whole request
	IdleTimeout     time.Duration // between requests of a connection
}

const (
	kib                    = 1 << 10
	mib                    = 1 << 20
	defaultMaxRequestBytes = mib
	defaultMaxHeaderBytes  = 16 * kib
	defaultReadTimeout     = 10 * time.Second
	defaultIdleTimeout     = 90 * time.Second
	longestTimeout         = 10 * time.Minute
)

func defaultLimits() Limits {
	return Limits{
		MaxRequestBytes: defaultMaxRequestBytes,
		MaxHeaderBytes:  defaultMaxHeaderBytes,
		ReadTimeout:     defaultReadTimeout,
		IdleTimeout:     defaultIdleTimeout,
	}
}

func (l *Limits) read(v yamldoc.Value) {
	o := v.Object()
	o.Optional("max_request_bytes").Int64(&l.MaxRequestBytes, yamldoc.Range[int64]{Min: kib, Max: 64 * mib})
	o.Optional("max_header_bytes").Int(&l.MaxHeaderBytes, yamldoc.Range[int]{Min: kib, Max: mib})
	o.Optional("read_timeout").Duration(&l.ReadTimeout, durations(100*time.Millisecond, longestTimeout))
	o.Optional("idle_timeout").Duration(&l.IdleTimeout, durations(time.Second, longestTimeout))
	o.Close()
}
