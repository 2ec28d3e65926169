package ticket

import (
	"crypto/sha256"
	"time"
)

// record is the state of one ticket. All fields but done are guarded
// by the ledger's mutex; result is constant after done is closed, except that
// its payload may be dropped.
type record struct {
	id         ticketID
	redeemed   bool
	bodyDigest [sha256.Size]byte // digest of the payload of the first redemption
	done       chan struct{}     // made by the first redemption, closed by Complete
	result     Result
	// forgetAt is the end of the redeem window until the first redemption, and
	// the end of the retention after completion.
	forgetAt time.Time
}

func (r *record) completed() bool {
	select {
	case <-r.done: // nil, and so never ready, before the first redemption
		return true
	default:
		return false
	}
}
