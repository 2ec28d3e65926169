package ticket

import "time"

const (
	// RedeemWindow is the time after issue within which the first redemption of a
	// ticket must begin.
	RedeemWindow = 30 * time.Second
	// OutcomeRetention is the time after completion for which an outcome is kept.
	OutcomeRetention = 10 * time.Minute
)

// Limits bound the memory of a Ledger.
type Limits struct {
	Records     int   // tickets whose record is kept
	ResultBytes int64 // payloads of all kept outcomes together
}

// DefaultLimits allow about 330 submissions per second, since each record is kept
// for OutcomeRetention. A record takes about 400 bytes besides its payload.
var DefaultLimits = Limits{Records: 200_000, ResultBytes: 64 << 20}
