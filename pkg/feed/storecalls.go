package feed

import "sync/atomic"

// StoreCalls counts this instance's calls to the store by cause. All of them count against
// the store's limit. It is safe for concurrent use.
type StoreCalls struct {
	reads         atomic.Int64 // of all items, at a start or when the history is gone
	watches       atomic.Int64
	confirmations atomic.Int64 // of the table, for requests without a route
}

// Counts returns the number of calls by cause.
func (c *StoreCalls) Counts() map[string]int64 {
	return map[string]int64{"read": c.reads.Load(), "watch": c.watches.Load(), "confirm_table": c.confirmations.Load()}
}

// countFetch counts a call of the loop that follows the store. Synced tells whether it is a
// watch.
func (c *StoreCalls) countFetch(synced bool) {
	if synced {
		c.watches.Add(1)
	} else {
		c.reads.Add(1)
	}
}
