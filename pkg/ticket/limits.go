package ticket

import "time"

const (
	// RedeemWindow is the time after issue in which a ticket may be redeemed first.
	RedeemWindow = 30 * time.Second
	// OutcomeRetention is the time after completion for which an outcome is kept.
	OutcomeRetention = 10 * time.Minute
)

// Limits bound the memory of a Ledger.
type Limits struct {
	Records     int   // tickets issued or redeemed and not yet forgotten
	ResultBytes int64 // results of all kept outcomes together
}

// DefaultLimits admit about 330 submissions a second at OutcomeRetention. A
// record takes about 400 bytes besides its result.
var DefaultLimits = Limits{Records: 200_000, ResultBytes: 64 << 20}
